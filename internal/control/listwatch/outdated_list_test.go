package listwatch

import (
	"fmt"
	"testing"
	"time"
)

// moveWithSilentCall returns a watch whose call 1 to address a is silent, that has moved to address b,
// and that has used the answer to call 2 to address a.
func moveWithSilentCall(t *testing.T, revision int64) (w *Watch, now time.Duration) {
	t.Helper()
	w = New("a", revision, 1)
	step(w, 0)
	step(w, queuedSilentAfter) // call 2 starts in parallel
	now = queuedSilentAfter + 10*ms
	w.SetAddress(now, "b")
	step(w, now)
	if !w.Answered(now, 2, 43) {
		t.Fatal("the newest list of the previous address is not used")
	}
	return w, now
}

func TestOutdatedListOfPreviousAddressIsNotUsed(t *testing.T) {
	w, now := moveWithSilentCall(t, 41)
	if w.Answered(now+ms, 1, 42) {
		t.Error("a list of revision 42 is used after one of revision 43 of the same address")
	}
}

func TestOutdatedListIsNotUsedAfterMoveAndBack(t *testing.T) {
	w, now := moveWithSilentCall(t, 41)
	w.SetAddress(now, "a")
	step(w, now)
	if w.Answered(now+ms, 1, 42) {
		t.Error("a list of revision 42 is used after one of revision 43 of the same address")
	}
}

func TestOutdatedSnapshotIsNoRevisionReset(t *testing.T) {
	w, now := moveWithSilentCall(t, NoRevision) // call 2 asks for a snapshot too
	w.SetAddress(now, "a")
	begun, _, _ := w.Step(now)
	if w.Answered(now+ms, begun[0].ID, 42) {
		t.Error("a list of revision 42 is used after one of revision 43 of the same address")
	}
	if w.Answered(now+2*ms, 1, 42) {
		t.Error("the answer to an earlier call is taken as proof that the agent has reset its revisions")
	}
	again, _, _ := w.Step(now + ms + maxBackoff + 2*ms)
	if len(again) != 1 || !w.Answered(now+2*maxBackoff, again[0].ID, 3) {
		t.Errorf("the agent has reset its revisions, and its snapshot is not used: %+v", again)
	}
}

func TestStateOfOtherAddressesIsPruned(t *testing.T) {
	w := New("a0", 41, 1)
	for i := range 1000 {
		now := time.Duration(i) * 100 * ms
		begun, _, _ := w.Step(now)
		for _, c := range begun {
			w.Answered(now, c.ID, int64(i))
		}
		w.SetAddress(now, fmt.Sprint("a", i+1))
	}
	if w.Step(1000 * 100 * ms); len(w.addresses) > maxCalls+1 {
		t.Errorf("the state of %d addresses is kept", len(w.addresses))
	}
}

func TestMovesDoNotHideRevisionReset(t *testing.T) {
	w := New("a", 41, 1)
	begun, _, _ := w.Step(0)
	if w.Answered(ms, begun[0].ID, 3) {
		t.Fatal("an answer with a lower revision is used at once")
	}
	w.SetAddress(2*ms, "b")
	w.Step(2 * ms)
	w.SetAddress(3*ms, "a")
	begun, _, _ = w.Step(3 * ms)
	w.SetAddress(4*ms, "b")
	w.Step(4 * ms)
	if len(begun) != 1 || !w.Answered(5*ms, begun[0].ID, 3) {
		t.Errorf("the snapshot that confirms the lower revision is not used: %+v", begun)
	}
}
