package lifecycle

import (
	"context"
	"errors"
	"fmt"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"yokemast/internal/memory/counters"
	"yokemast/internal/operator"
)

// A SIGHUP comes once: a gateway that has no descriptor free just then would ask the discovery of before for good.
func TestAFileThatCanNotBeReadForAMomentIsReadAgain(t *testing.T) {
	full := fmt.Errorf("config: %w", &os.PathError{Op: "open", Path: "config.json", Err: syscall.EMFILE})
	for name, c := range map[string]struct {
		config, own []error // of each reading
		want        int
	}{
		"no descriptor, twice":                     {[]error{full, full, errors.New("bad")}, nil, 3},
		"a file that makes no sense":               {[]error{errors.New("bad")}, nil, 1},
		"no descriptor for the operator's file":    {[]error{errors.New("bad"), errors.New("bad")}, []error{full}, 2},
		"no descriptor, then for the other of two": {[]error{full, errors.New("bad"), errors.New("bad")}, []error{nil, full}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(context.Background())
				readings := 0
				r := reloading{log: zap.NewNop(), counts: &counters.Set{}, from: Reload{
					Config: func(Config) (Config, error) { readings++; return Config{}, c.config[min(readings, len(c.config))-1] },
					Operator: func() (*operator.File, error) {
						if readings > len(c.own) {
							return nil, nil
						}
						return nil, c.own[readings-1]
					}}}
				g := &gateway{ctx: ctx}
				reload := make(chan os.Signal, 1)
				reload <- syscall.SIGHUP
				go func() {
					time.Sleep(time.Second)
					stop()
				}()
				if err := g.handleSignals(Signals{reload: reload}, r.read); err != nil || readings != c.want {
					t.Errorf("%v, the file is read %d times, want %d", err, readings, c.want)
				}
			})
		})
	}
}
