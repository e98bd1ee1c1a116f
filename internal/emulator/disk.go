package emulator

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	bolt "go.etcd.io/bbolt"

	"coralhub/wire"
)

// Disk keeps a State's keys in a file: every change is flushed before it is answered,
// so a process that is killed at any moment finds all that it had promised.
type Disk struct{ db *bolt.DB }

var (
	keysBucket = []byte("keys")
	metaBucket = []byte("meta")
	revKey     = []byte("revision")
)

// OpenDisk opens a file, made if need be.
func OpenDisk(path string) (*Disk, error) {
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second})
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
	return &Disk{db}, nil
}

// Close closes the file.
func (d *Disk) Close() error { return d.db.Close() }

// Load returns a State with what the file holds. Leases don't outlive a process: keys
// that were attached to one are gone.
func (d *Disk) Load() (*State, error) {
	s := NewState()
	s.Disk = d
	var leased []string
	err := d.db.View(func(tx *bolt.Tx) error {
		if raw := tx.Bucket(metaBucket).Get(revKey); len(raw) == 8 {
			s.rev = binary.BigEndian.Uint64(raw)
		}
		return tx.Bucket(keysBucket).ForEach(func(k, v []byte) error {
			var it wire.KeyValue
			if err := msgpack.Unmarshal(v, &it); err != nil {
				return fmt.Errorf("key %q: %w", k, err)
			}
			if it.Lease != 0 {
				leased = append(leased, it.Key)
				return nil
			}
			s.keys[it.Key] = it
			return nil
		})
	})
	if err != nil {
		return nil, err
	}
	for _, k := range leased {
		s.rev++
		if err := d.save(s.rev, []wire.Change{{Delete: k}}); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// save writes changes of one revision and returns when they are safe.
func (d *Disk) save(rev uint64, changes []wire.Change) error {
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
			raw, err := msgpack.Marshal(&wire.KeyValue{Key: c.Put, Value: c.Value, Version: rev, Lease: c.Lease})
			if err != nil {
				return err
			}
			if err := b.Put([]byte(c.Put), raw); err != nil {
				return err
			}
		}
		return tx.Bucket(metaBucket).Put(revKey, binary.BigEndian.AppendUint64(nil, rev))
	})
}

var uploadsBucket = []byte("uploads")

// upload is a description as it is kept.
type upload struct {
	Job wire.Job
	Run Micros
}

// Upload keeps a description that a user has uploaded. One that can't be kept is lost
// with the process, and its job's tasks are unknown then.
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

// Uploads returns the descriptions that are kept.
func (d *Disk) Uploads() (map[string]*SubmittedJob, error) {
	out := map[string]*SubmittedJob{}
	err := d.db.View(func(tx *bolt.Tx) error {
		b := tx.Bucket(uploadsBucket)
		if b == nil {
			return nil
		}
		return b.ForEach(func(k, v []byte) error {
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
