// Package raftlog persists the state of a voter of the fleet's leases: the consensus library's hard state
// (term, vote, commit) and its log of entries, in one bbolt file. A voter that lost its vote in a crash could
// vote twice in one term, and two leaders could then grant the same lease.
//
// The file has two buckets:
//
//	meta     "hard": the hard state in protocol buffers; "version": 1 byte, the format (1)
//	entries  the entries in protocol buffers, by their index as 8 bytes big-endian
//
// Each Save is one bbolt transaction that is synced to disk before Save returns, and so before the caller
// sends the library's messages. After a power failure the file contains either all of a Save or none of it.
package raftlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	bolt "go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const formatVersion = 1

var (
	metaBucket    = []byte("meta")
	entriesBucket = []byte("entries")
	hardKey       = []byte("hard")
	versionKey    = []byte("version")
)

// ErrFormat is returned by Open for a file of another format, and by Load for an invalid record.
var ErrFormat = errors.New("invalid raft log format")

// Log is the file of one voter. It is not safe for concurrent use.
type Log struct {
	db   *bolt.DB
	path string
}

// Open opens or creates the file at path. It waits for at most one second if another process has locked it.
func Open(path string) (*Log, error) {
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, fmt.Errorf("raft log %s: %w", path, err)
	}
	l := &Log{db: db, path: path}
	err = db.Update(func(tx *bolt.Tx) error {
		m, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucketIfNotExists(entriesBucket); err != nil {
			return err
		}
		switch v := m.Get(versionKey); {
		case v == nil:
			return m.Put(versionKey, []byte{formatVersion})
		case len(v) != 1 || v[0] != formatVersion:
			return fmt.Errorf("format version %v, want %d: %w", v, formatVersion, ErrFormat)
		}
		return nil
	})
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("raft log %s: %w", path, err)
	}
	return l, nil
}

// Close closes the file.
func (l *Log) Close() error { return l.db.Close() }

// Save writes a hard state, unless it is nil or empty, and entries. The entries replace all entries in the
// file from the index of the first one on, as raft requires when a new leader overwrites the end of the log.
func (l *Log) Save(hard *raftpb.HardState, entries []*raftpb.Entry) error {
	if raft.IsEmptyHardState(hard) && len(entries) == 0 {
		return nil
	}
	err := l.db.Update(func(tx *bolt.Tx) error {
		if !raft.IsEmptyHardState(hard) {
			b, err := proto.Marshal(hard)
			if err != nil {
				return err
			}
			if err := tx.Bucket(metaBucket).Put(hardKey, b); err != nil {
				return err
			}
		}
		if len(entries) == 0 {
			return nil
		}
		eb := tx.Bucket(entriesBucket)
		c := eb.Cursor()
		for k, _ := c.Seek(entryKey(entries[0].GetIndex())); k != nil; k, _ = c.Next() {
			if err := c.Delete(); err != nil {
				return err
			}
		}
		for _, e := range entries {
			b, err := proto.Marshal(e)
			if err != nil {
				return err
			}
			if err := eb.Put(entryKey(e.GetIndex()), b); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("raft log %s: save: %w", l.path, err)
	}
	return nil
}

// Load returns a new memory storage with the content of the file. If the file is empty, fresh is true: the
// voter is new and must be bootstrapped.
func (l *Log) Load() (storage *raft.MemoryStorage, fresh bool, err error) {
	storage = raft.NewMemoryStorage()
	var hard *raftpb.HardState
	var entries []*raftpb.Entry
	err = l.db.View(func(tx *bolt.Tx) error {
		if b := tx.Bucket(metaBucket).Get(hardKey); b != nil {
			hard = &raftpb.HardState{}
			if err := proto.Unmarshal(b, hard); err != nil {
				return fmt.Errorf("hard state: %v: %w", err, ErrFormat)
			}
		}
		var last uint64
		return tx.Bucket(entriesBucket).ForEach(func(k, v []byte) error {
			e := &raftpb.Entry{}
			if err := proto.Unmarshal(v, e); err != nil || len(k) != 8 || e.GetIndex() != binary.BigEndian.Uint64(k) {
				return fmt.Errorf("entry at key %x: %w", k, ErrFormat)
			}
			if last != 0 && e.GetIndex() != last+1 {
				return fmt.Errorf("entry %d after %d: %w", e.GetIndex(), last, ErrFormat)
			}
			last = e.GetIndex()
			entries = append(entries, e)
			return nil
		})
	})
	if err != nil {
		return nil, false, fmt.Errorf("raft log %s: %w", l.path, err)
	}
	if hard == nil && len(entries) == 0 {
		return storage, true, nil
	}
	if hard != nil {
		if err := storage.SetHardState(hard); err != nil {
			return nil, false, fmt.Errorf("raft log %s: %w", l.path, err)
		}
	}
	if err := storage.Append(entries); err != nil {
		return nil, false, fmt.Errorf("raft log %s: %w", l.path, err)
	}
	return storage, false, nil
}

// entryKey returns the key of an entry.
func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }
