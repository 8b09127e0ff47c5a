package kit2

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// MemoryMB returns the resident memory of the process in MiB, or 0 if it has ended.
func (p *Process) MemoryMB() float64 {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), "VmRSS:"); ok {
			var kb float64
			_, _ = fmt.Sscan(rest, &kb)
			return kb / 1024
		}
	}
	return 0
}

// LimitMemory does what the platform does: it kills the process once its memory is over the limit. over receives the memory at
// that time.
func (p *Process) LimitMemory(limitMB float64, over chan<- float64) {
	go func() {
		for {
			select {
			case <-p.Exited:
				return
			case <-time.After(10 * time.Millisecond):
			}
			if used := p.MemoryMB(); used > limitMB {
				p.c.Note("platform: %s uses %.0f MB of %.0f MB", p.name, used, limitMB)
				p.Signal(syscall.SIGKILL)
				over <- used
				return
			}
		}
	}()
}
