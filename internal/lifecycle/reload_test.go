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

// A SIGHUP arrives once: if the gateway had no free descriptor at that moment and did not retry, it would keep using the
// old discovery address for ever.
func TestReloadRetriesTransientReadErrors(t *testing.T) {
	full := fmt.Errorf("config: %w", &os.PathError{Op: "open", Path: "config.json", Err: syscall.EMFILE})
	for name, c := range map[string]struct {
		config, operatorFile []error // result of each read
		want                 int
	}{
		"no descriptor twice":                        {[]error{full, full, errors.New("bad")}, nil, 3},
		"invalid file":                               {[]error{errors.New("bad")}, nil, 1},
		"no descriptor for the operator's file":      {[]error{errors.New("bad"), errors.New("bad")}, []error{full}, 2},
		"no descriptor for one file, then the other": {[]error{full, errors.New("bad"), errors.New("bad")}, []error{nil, full}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(context.Background())
				readings := 0
				r := reloader{log: zap.NewNop(), counts: &counters.Set{}, source: Reload{
					Config: func(Config) (Config, error) { readings++; return Config{}, c.config[min(readings, len(c.config))-1] },
					Operator: func() (*operator.File, error) {
						if readings > len(c.operatorFile) {
							return nil, nil
						}
						return nil, c.operatorFile[readings-1]
					}}}
				g := &gateway{ctx: ctx}
				reload := make(chan os.Signal, 1)
				reload <- syscall.SIGHUP
				go func() {
					time.Sleep(time.Second)
					stop()
				}()
				if err := g.handleSignals(Signals{reload: reload}, r.read); err != nil || readings != c.want {
					t.Errorf("error %v, the file is read %d times, want %d", err, readings, c.want)
				}
			})
		})
	}
}
