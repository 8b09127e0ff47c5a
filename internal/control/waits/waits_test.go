package waits

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// play lets n clients of a program come that wait for so long at first; of each the first tries come, and a part of them
// comes again after a while, with what is left.
func play(w *Estimator, n int, first time.Duration, again func(i int) time.Duration) (told []time.Duration) {
	for i := range n {
		if w.Observe("view", 750*ms, first) != 0 {
			told = append(told, -1) // a first try, taken for a later one
		}
		w.Unserved("view")
		if after := again(i); after > 0 {
			told = append(told, w.Observe("view", 750*ms, min(first, 750*ms-after)))
		}
	}
	return told
}

func TestALaterTryTellsHowLongItsClientHasBeenAtIt(t *testing.T) {
	w := New()
	play(w, 20, 450*ms, func(int) time.Duration { return 0 })
	for i, got := range play(w, 100, 450*ms, func(i int) time.Duration { return time.Duration(330+i*4) * ms }) {
		if want := time.Duration(330+i*4) * ms; got != want {
			t.Fatalf("client %d: %v, want %v", i, got, want)
		}
	}
	if got := w.Observe("view", 750*ms, 450*ms); got != 0 {
		t.Errorf("a try that may be a first is taken for one of a client that is at it for %v", got)
	}
}

func TestNothingIsToldBeforeFirstTriesAreKnown(t *testing.T) {
	w := New()
	w.Unserved("view")
	for _, wait := range []time.Duration{450 * ms, 200 * ms, 0, -ms, 450 * ms} {
		if got := w.Observe("view", 750*ms, wait); got != 0 {
			t.Errorf("wait %v: %v", wait, got)
		}
		w.Unserved("view")
	}
	if got := w.Observe("order", 0, ms); got != 0 {
		t.Errorf("a class without a time: %v", got)
	}
}

// Two programs whose first tries wait for different times: none of both is taken for later ones.
func TestFirstTriesOfTwoPrograms(t *testing.T) {
	w := New()
	for range 200 {
		for _, wait := range []time.Duration{700 * ms, 700 * ms, 320 * ms} {
			if got := w.Observe("view", 750*ms, wait); got != 0 {
				t.Fatalf("wait %v: %v", wait, got)
			}
			w.Unserved("view")
		}
	}
}

// A program too rare to be known: where nothing goes unserved its tries are taken for what they are.
func TestARareProgramIsServedWhereNothingIsWrong(t *testing.T) {
	w := New()
	for i := range 5000 {
		wait := 700 * ms
		if i%20 == 0 {
			wait = 320 * ms
		}
		if got := w.Observe("view", 750*ms, wait); got != 0 {
			t.Fatalf("try %d: %v", i, got)
		}
	}
}

// Whatever clients come and whatever becomes of them: no more tries are taken for later ones than went unserved can have
// brought, and what is told is the class's time less the wait.
func TestNoMoreLaterTriesThanCanBe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, allowed, told := New(), 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "tries") {
			wait := time.Duration(rapid.IntRange(-10, 900).Draw(t, "wait")) * ms
			got := w.Observe("view", 750*ms, wait)
			switch {
			case got != 0 && got != 750*ms-wait:
				t.Fatalf("wait %v: %v", wait, got)
			case got != 0:
				told++
			case rapid.Bool().Draw(t, "unserved"):
				w.Unserved("view")
				allowed += retriesMost
			}
			if told > allowed {
				t.Fatalf("%d later tries after %d that can be", told, allowed)
			}
		}
	})
}

func TestOldTriesAreForgotten(t *testing.T) {
	w := New()
	play(w, 2*rememberedTries, 700*ms, func(int) time.Duration { return 0 })
	told := play(w, 4*rememberedTries, 320*ms, func(int) time.Duration { return 0 }) // the program has changed
	if n := len(told); n > rememberedTries {
		t.Errorf("%d first tries of the new program are taken for later ones", n)
	}
	if s := w.classes["view"]; s.total > rememberedTries || s.expected > expectedMost {
		t.Errorf("it remembers %d tries and expects %d", s.total, s.expected)
	}
}

func BenchmarkTry(b *testing.B) {
	w := New()
	play(w, 100, 450*ms, func(i int) time.Duration { return time.Duration(330+i*4) * ms })
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		w.Unserved("view")
		w.Observe("view", 750*ms, time.Duration(100+i%340)*ms)
	}
}
