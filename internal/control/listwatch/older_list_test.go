package listwatch

import (
	"fmt"
	"testing"
	"time"
)

// movedBesideASilentCall is a watch whose call 1 at address a is silent, that has moved to b, and that has used what call 2 at a answered.
func movedBesideASilentCall(t *testing.T, revision int64) (w *Watch, now time.Duration) {
	t.Helper()
	w = New("a", revision, 1)
	step(w, 0)
	step(w, crowdedSilentAfter) // call 2 begins beside it
	now = crowdedSilentAfter + 10*ms
	w.SetAddress(now, "b")
	step(w, now)
	if !w.Answered(now, 2, 43) {
		t.Fatal("the newest list of the last address is not used")
	}
	return w, now
}

func TestAnOlderListOfTheLastAddressIsNotUsedAfterANewerOne(t *testing.T) {
	w, now := movedBesideASilentCall(t, 41)
	if w.Answered(now+ms, 1, 42) {
		t.Error("a list of revision 42 is used after one of revision 43 of the same address")
	}
}

func TestAnOlderListIsNotUsedAfterAMoveThereAndBack(t *testing.T) {
	w, now := movedBesideASilentCall(t, 41)
	w.SetAddress(now, "a")
	step(w, now)
	if w.Answered(now+ms, 1, 42) {
		t.Error("a list of revision 42 is used after one of revision 43 of the same address")
	}
}

func TestAnOlderWholeListThatWasAskedForBeforeIsNotTakenForANewCount(t *testing.T) {
	w, now := movedBesideASilentCall(t, NoRevision) // call 2 asks for the whole list too
	w.SetAddress(now, "a")
	begun, _, _ := w.Step(now)
	if w.Answered(now+ms, begun[0].ID, 42) {
		t.Error("a list of revision 42 is used after one of revision 43 of the same address")
	}
	if w.Answered(now+2*ms, 1, 42) {
		t.Error("an answer to a call of before is taken for the agent's word that it counts anew")
	}
	again, _, _ := w.Step(now + ms + soon + 2*ms)
	if len(again) != 1 || !w.Answered(now+2*soon, again[0].ID, 3) {
		t.Errorf("the agent counts anew, and its whole list is not used: %+v", again)
	}
}

func TestWhatWasUsedOfOtherAddressesIsForgotten(t *testing.T) {
	w := New("a0", 41, 1)
	for i := range 1000 {
		now := time.Duration(i) * 100 * ms
		begun, _, _ := w.Step(now)
		for _, c := range begun {
			w.Answered(now, c.ID, int64(i))
		}
		w.SetAddress(now, fmt.Sprint("a", i+1))
	}
	if w.Step(1000 * 100 * ms); len(w.used) > maxCalls+1 {
		t.Errorf("%d addresses are kept", len(w.used))
	}
}

func TestMovesThereAndBackDoNotHideThatAnAgentCountsAnew(t *testing.T) {
	w := New("a", 41, 1)
	begun, _, _ := w.Step(0)
	if w.Answered(ms, begun[0].ID, 3) {
		t.Fatal("an answer of a lower revision is used at once")
	}
	w.SetAddress(2*ms, "b")
	w.Step(2 * ms)
	w.SetAddress(3*ms, "a")
	begun, _, _ = w.Step(3 * ms)
	w.SetAddress(4*ms, "b")
	w.Step(4 * ms)
	if len(begun) != 1 || !w.Answered(5*ms, begun[0].ID, 3) {
		t.Errorf("the whole list that says so too is not used: %+v", begun)
	}
}
