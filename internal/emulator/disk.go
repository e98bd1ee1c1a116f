package emulator

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	bolt "go.etcd.io/bbolt"

	"coralhub/wire"
)

// Disk stores the keys of a State in a file. Every change is flushed before it is acknowledged, so that
// no acknowledged change is lost if the process is killed at any moment.
type Disk struct{ db *bolt.DB }

// The buckets of the file, and the key in metaBucket that stores the last revision.
var (
	keysBucket    = []byte("keys")
	metaBucket    = []byte("meta")
	uploadsBucket = []byte("uploads")
	revisionKey   = []byte("revision")
)

const (
	// lockTimeout is how long OpenDisk waits for another process to close the file.
	lockTimeout = time.Second
	// revisionBytes is the length of the stored revision, a big-endian uint64.
	revisionBytes = 8
)

// OpenDisk opens a file, and creates it if it doesn't exist. The error wraps bolt's ErrTimeout if another
// process has the file open. The caller must close the Disk.
func OpenDisk(path string) (*Disk, error) {
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, fmt.Errorf("open state file %s: %w", path, err)
	}
	err = db.Update(func(tx *bolt.Tx) error {
		for _, b := range [][]byte{keysBucket, metaBucket} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		_ = db.Close()
		return nil, fmt.Errorf("create buckets in state file %s: %w", path, err)
	}
	return &Disk{db: db}, nil
}

// Close closes the file. Nothing can be stored from then on.
func (d *Disk) Close() error { return d.db.Close() }

// Load returns a State with the keys in the file, which stores its changes there. Leases do not outlive
// the process that granted them: keys that are attached to a lease are deleted.
func (d *Disk) Load() (*State, error) {
	s := NewState()
	s.Disk = d
	var leased []string
	err := d.db.View(func(tx *bolt.Tx) error {
		if raw := tx.Bucket(metaBucket).Get(revisionKey); len(raw) == revisionBytes {
			s.revision = binary.BigEndian.Uint64(raw)
		}
		return tx.Bucket(keysBucket).ForEach(func(k, v []byte) error {
			var item wire.KeyValue
			if err := msgpack.Unmarshal(v, &item); err != nil {
				return fmt.Errorf("decode stored key %q: %w", k, err)
			}
			if item.Lease != 0 {
				leased = append(leased, item.Key)
				return nil
			}
			s.keys[item.Key] = item
			return nil
		})
	})
	if err != nil {
		return nil, err
	}
	for _, key := range leased {
		s.revision++
		if err := d.save(s.revision, []wire.Change{{Delete: key}}); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// save stores the changes of a revision and returns after they are flushed. A nil Disk stores nothing.
func (d *Disk) save(revision uint64, changes []wire.Change) error {
	if d == nil {
		return nil
	}
	return d.db.Update(func(tx *bolt.Tx) error {
		b := tx.Bucket(keysBucket)
		for _, c := range changes {
			if c.Put == "" {
				if err := b.Delete([]byte(c.Delete)); err != nil {
					return err
				}
				continue
			}
			raw, err := msgpack.Marshal(&wire.KeyValue{Key: c.Put, Value: c.Value, Version: revision, Lease: c.Lease})
			if err != nil {
				return err
			}
			if err := b.Put([]byte(c.Put), raw); err != nil {
				return err
			}
		}
		return tx.Bucket(metaBucket).Put(revisionKey, binary.BigEndian.AppendUint64(nil, revision))
	})
}

// upload is the stored form of an uploaded job description.
type upload struct {
	Job wire.Job
	Run Micros
}

// SaveUpload stores a job description that a user has uploaded. Errors are ignored: a description that
// could not be stored is lost when the process ends, and the tasks of its job are unknown to the workers
// from then on. A nil Disk stores nothing.
func (d *Disk) SaveUpload(j *SubmittedJob) {
	if d == nil {
		return
	}
	_ = d.db.Update(func(tx *bolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(uploadsBucket)
		if err != nil {
			return err
		}
		raw, err := msgpack.Marshal(&upload{j.Job, j.RunTime})
		if err != nil {
			return err
		}
		return b.Put([]byte(j.ID), raw)
	})
}

// LoadUploads returns the stored job descriptions by job ID.
func (d *Disk) LoadUploads() (map[string]*SubmittedJob, error) {
	out := map[string]*SubmittedJob{}
	err := d.db.View(func(tx *bolt.Tx) error {
		bucket := tx.Bucket(uploadsBucket)
		if bucket == nil {
			return nil
		}
		return bucket.ForEach(func(k, v []byte) error {
			var u upload
			if err := msgpack.Unmarshal(v, &u); err != nil {
				return fmt.Errorf("decode stored description of job %s: %w", k, err)
			}
			out[string(k)] = &SubmittedJob{Job: u.Job, RunTime: u.Run}
			return nil
		})
	})
	return out, err
}
