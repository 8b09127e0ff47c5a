package fleet

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

func members(id uint16) bool { return id >= 1 && id <= 5 }

func TestRaftRoundTrip(t *testing.T) {
	typ := raftpb.MessageType_MsgHeartbeat
	m := &raftpb.Message{Type: &typ, To: proto.Uint64(2), From: proto.Uint64(1), Term: proto.Uint64(7)}
	b, err := AppendRaft(nil, m)
	if err != nil {
		t.Fatal(err)
	}
	r := NewReader(bytes.NewReader(b), members)
	f, err := r.Read()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Raft(f)
	if err != nil || !proto.Equal(got, m) {
		t.Fatalf("%v %v", got, err)
	}
	if _, err := r.Read(); err != io.EOF {
		t.Fatalf("after the last frame: %v", err)
	}
}

func TestReadRefuses(t *testing.T) {
	typ := raftpb.MessageType_MsgHeartbeat
	forged, _ := proto.Marshal(&raftpb.Message{Type: &typ, To: proto.Uint64(2), From: proto.Uint64(3)})
	good := Append(nil, KindAsk, 1, []byte("x"))
	cases := map[string]struct {
		b    []byte
		want error
	}{
		"too long":          {[]byte{0x7f, 0, 0, 0, 1, 0, 1}, ErrFrame},
		"too short":         {[]byte{0, 0, 0, 2, 1, 0}, ErrFrame},
		"unknown kind":      {Append(nil, 9, 1, nil), ErrFrame},
		"no member":         {Append(nil, KindAsk, 40, nil), ErrFrame},
		"truncated payload": {good[:len(good)-1], io.ErrUnexpectedEOF},
		"truncated head":    {good[:5], io.ErrUnexpectedEOF},
	}
	for name, c := range cases {
		_, err := NewReader(bytes.NewReader(c.b), members).Read()
		if !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
	f, err := NewReader(bytes.NewReader(Append(nil, KindRaft, 1, forged)), members).Read()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Raft(f); !errors.Is(err, ErrFrame) {
		t.Fatalf("accepted a message in the name of another member: %v", err)
	}
	f, _ = NewReader(bytes.NewReader(Append(nil, KindRaft, 1, []byte{0xff, 0xff})), members).Read()
	if _, err := Raft(f); !errors.Is(err, ErrFrame) {
		t.Fatalf("garbled message: %v", err)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(Append(nil, KindAsk, 1, []byte("x")))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := NewReader(bytes.NewReader(b), members)
		for i := 0; i < 8; i++ {
			fr, err := r.Read()
			if err != nil {
				return
			}
			if !members(fr.From) || fr.Kind < KindRaft || fr.Kind > KindAct {
				t.Fatalf("accepted %+v", fr)
			}
			_, _ = Raft(fr)
		}
	})
}
