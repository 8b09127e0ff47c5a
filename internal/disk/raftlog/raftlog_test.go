package raftlog

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

func entry(index, term uint64, data string) *raftpb.Entry {
	return &raftpb.Entry{Index: proto.Uint64(index), Term: proto.Uint64(term), Data: []byte(data)}
}

func TestSaveOverwritesTail(t *testing.T) {
	path := filepath.Join(t.TempDir(), "raft.db")
	l, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, fresh, err := l.Load(); err != nil || !fresh {
		t.Fatalf("new file: fresh %v, error %v", fresh, err)
	}
	hard := &raftpb.HardState{Term: proto.Uint64(3), Vote: proto.Uint64(2), Commit: proto.Uint64(2)}
	if err := l.Save(hard, []*raftpb.Entry{entry(1, 1, "a"), entry(2, 1, "b"), entry(3, 2, "c")}); err != nil {
		t.Fatal(err)
	}
	// A new leader overwrites the log from index 3 on.
	if err := l.Save(nil, []*raftpb.Entry{entry(3, 3, "C")}); err != nil {
		t.Fatal(err)
	}
	l.Close()
	l, err = Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	s, fresh, err := l.Load()
	if err != nil || fresh {
		t.Fatalf("file with entries: fresh %v, error %v", fresh, err)
	}
	hs, _, _ := s.InitialState()
	if hs.GetTerm() != 3 || hs.GetVote() != 2 || hs.GetCommit() != 2 {
		t.Fatalf("hard state %v, want term 3, vote 2, commit 2", hs)
	}
	last, _ := s.LastIndex()
	es, err := s.Entries(1, last+1, 1<<20)
	if err != nil || len(es) != 3 || string(es[2].GetData()) != "C" || es[2].GetTerm() != 3 {
		t.Fatalf("entries %v, error %v", es, err)
	}
}

func TestOpenRejectsUnknownFormat(t *testing.T) {
	path := filepath.Join(t.TempDir(), "raft.db")
	l, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	l.db.Update(func(tx *boltTx) error { return tx.Bucket(metaBucket).Put(versionKey, []byte{9}) })
	l.Close()
	if _, err := Open(path); !errors.Is(err, ErrFormat) {
		t.Fatalf("open of a file with format version 9: error %v, want ErrFormat", err)
	}
}

func TestLoadRejectsGapOrGarbledEntry(t *testing.T) {
	for name, put := range map[string][2][]byte{
		"garbled": {entryKey(2), []byte{0xff, 0xff}},
		"gap":     {entryKey(5), func() []byte { b, _ := proto.Marshal(entry(5, 1, "x")); return b }()},
	} {
		path := filepath.Join(t.TempDir(), "raft.db")
		l, err := Open(path)
		if err != nil {
			t.Fatal(err)
		}
		l.Save(nil, []*raftpb.Entry{entry(1, 1, "a")})
		l.db.Update(func(tx *boltTx) error { return tx.Bucket(entriesBucket).Put(put[0], put[1]) })
		if _, _, err := l.Load(); !errors.Is(err, ErrFormat) {
			t.Errorf("%s: %v", name, err)
		}
		l.Close()
	}
}

func TestOpenRejectsTornFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "raft.db")
	l, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	l.Save(nil, []*raftpb.Entry{entry(1, 1, "a")})
	l.Close()
	b, _ := os.ReadFile(path)
	for i := 0; i < 4096 && i < len(b); i++ {
		b[i] = 0xa5 // the first meta page, as in the worst case of a write interrupted by a power failure
	}
	os.WriteFile(path, b, 0o600)
	l, err = Open(path)
	if err == nil {
		// bbolt falls back to its second meta page, whose content must load or be rejected as invalid.
		defer l.Close()
		if _, _, err := l.Load(); err != nil && !errors.Is(err, ErrFormat) {
			t.Fatalf("load of a torn file: error %v, want ErrFormat", err)
		}
	}
}
