package fleet

import (
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// AppendRaft appends a frame that carries a consensus message.
func AppendRaft(b []byte, m *raftpb.Message) ([]byte, error) {
	payload, err := proto.Marshal(m)
	if err != nil {
		return b, fmt.Errorf("consensus message %v to %d: %w", m.GetType(), m.GetTo(), err)
	}
	if len(payload)+3 > MaxFrame {
		return b, fmt.Errorf("consensus message %v to %d of %d bytes: %w", m.GetType(), m.GetTo(), len(payload),
			ErrFrame)
	}
	return Append(b, KindRaft, uint16(m.GetFrom()), payload), nil
}

// Raft decodes the consensus message of a frame and checks that it comes from the sender of the frame: a member must not
// send messages for another.
func Raft(f Frame) (*raftpb.Message, error) {
	if f.Kind != KindRaft {
		return nil, fmt.Errorf("kind %d is no consensus message: %w", f.Kind, ErrFrame)
	}
	m := &raftpb.Message{}
	if err := proto.Unmarshal(f.Payload, m); err != nil {
		return nil, fmt.Errorf("consensus message from %d: %v: %w", f.From, err, ErrFrame)
	}
	if m.GetFrom() != uint64(f.From) {
		return nil, fmt.Errorf("consensus message from %d says it is from %d: %w", f.From, m.GetFrom(), ErrFrame)
	}
	return m, nil
}
