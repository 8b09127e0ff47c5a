package balance_test

import (
	"fmt"
	"time"

	"yokemast/balance"
)

// An application passes each event to the router as it happens and carries out the returned actions: Send by
// passing the request on, Probe by asking a server for its state, StartTimer by starting a timer, and so on.
func Example() {
	router, err := balance.New(balance.Settings{
		Routers: 2, Tick: time.Millisecond, TokensCarried: true, Cancel: true, RetryAfter: true,
		MaxRetryAfter: time.Second, DrainGrace: time.Second,
		Classes: []balance.Class{
			{Name: "view", Need: balance.Bounded, Bound: time.Second, Effect: balance.Safe,
				LatencyTarget: 300 * time.Millisecond, Deadline: time.Second, Worth: 1},
			{Name: "save", Need: balance.Write, Effect: balance.Unsafe,
				LatencyTarget: 500 * time.Millisecond, Deadline: 3 * time.Second, Worth: 4},
		},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 1000 * time.Second // any clock that only moves forward
	handle := func(e balance.Event) {
		for _, a := range router.Handle(now, e, nil) {
			switch a := a.(type) {
			case balance.Send:
				fmt.Println("send", a.ID, "to", a.Server)
			case balance.Refuse:
				fmt.Println("refuse", a.ID)
			case balance.Fail:
				fmt.Println("fail", a.ID)
			}
		}
	}
	handle(balance.Members{Snapshot: true, List: []balance.Member{
		{Server: "db-1:5432", Primary: true, Weight: 1},
		{Server: "db-2:5432", Weight: 1},
	}})
	handle(balance.Request{ID: "r1", Class: "save", Deadline: now + 3*time.Second})
	handle(balance.Request{ID: "r2", Class: "view", Deadline: now + time.Second}) // no position known yet

	now += 20 * time.Millisecond
	handle(balance.Outcome{ID: "r1", Server: "db-1:5432", Result: balance.OK, Role: balance.Primary,
		Took: 18 * time.Millisecond, Final: true})
	handle(balance.Outcome{ID: "r2", Server: "db-1:5432", Result: balance.OK, Role: balance.Primary,
		Took: 19 * time.Millisecond, Final: true})
	handle(balance.ProbeResult{Server: "db-2:5432", Result: balance.OK,
		Report: balance.Report{Valid: true, Position: now - 30*time.Millisecond}})
	handle(balance.Request{ID: "r3", Class: "view", Deadline: now + time.Second})
	// Output:
	// send r1 to db-1:5432
	// send r2 to db-1:5432
	// send r3 to db-2:5432
}
