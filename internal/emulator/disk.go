package emulator

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	bolt "go.etcd.io/bbolt"

	"coralhub/wire"
)

// Disk stores the keys of a State in a file. Every change is flushed before it is answered, so that a
// process which is killed at any moment finds all that it has answered.
type Disk struct{ db *bolt.DB }

// The buckets of the file, and the key of the last revision in metaBucket.
var (
	keysBucket    = []byte("keys")
	metaBucket    = []byte("meta")
	uploadsBucket = []byte("uploads")
	revisionKey   = []byte("revision")
)

const (
	// lockTimeout is how long another process may have the file open.
	lockTimeout = time.Second
	// revisionBytes is the length of the stored revision.
	revisionBytes = 8
)

// OpenDisk opens a file, and creates it if it doesn't exist. The error wraps bolt's ErrTimeout if another
// process has it open.
func OpenDisk(path string) (*Disk, error) {
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
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
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &Disk{db: db}, nil
}

// Close closes the file.
func (d *Disk) Close() error { return d.db.Close() }

// Load returns a State with what the file holds, which stores its changes there. Leases end with the
// process: keys that are attached to one are deleted.
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
				return fmt.Errorf("key %q: %w", k, err)
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

// save stores the changes of a revision and returns when they are flushed. A nil Disk stores nothing.
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

// upload is a job description as it is stored.
type upload struct {
	Job wire.Job
	Run Micros
}

// Upload stores a job description that a user has uploaded. One that can't be stored is lost with the
// process, and the tasks of its job are unknown to the workers then. A nil Disk stores nothing.
func (d *Disk) Upload(j *SubmittedJob) {
	if d == nil {
		return
	}
	_ = d.db.Update(func(tx *bolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(uploadsBucket)
		if err != nil {
			return err
		}
		raw, err := msgpack.Marshal(&upload{j.Job, j.Run})
		if err != nil {
			return err
		}
		return b.Put([]byte(j.ID), raw)
	})
}

// Uploads returns the stored job descriptions.
func (d *Disk) Uploads() (map[string]*SubmittedJob, error) {
	out := map[string]*SubmittedJob{}
	err := d.db.View(func(tx *bolt.Tx) error {
		bucket := tx.Bucket(uploadsBucket)
		if bucket == nil {
			return nil
		}
		return bucket.ForEach(func(k, v []byte) error {
			var u upload
			if err := msgpack.Unmarshal(v, &u); err != nil {
				return fmt.Errorf("description of %s: %w", k, err)
			}
			out[string(k)] = &SubmittedJob{Job: u.Job, Run: u.Run}
			return nil
		})
	})
	return out, err
}
