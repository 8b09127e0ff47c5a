// Command yokemast is a gateway that splits reads and writes over replicated databases.
package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"

	"yokemast/internal/lifecycle"
)

type cli struct {
	Serve   serveCmd   `cmd:"" help:"Run the gateway until SIGTERM. SIGHUP takes discovery from the file anew, SIGUSR1 logs the counters."`
	Check   checkCmd   `cmd:"" help:"Read a configuration and say whether a gateway could start from it."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

type configFlag struct {
	Config string `help:"The configuration file." env:"ROUTER_CONFIG" required:"" type:"path"`
}

type serveCmd struct {
	configFlag
	Name      string `help:"The gateway's name, in place of the configuration's." env:"ROUTER_NAME"`
	Listen    string `help:"Where clients connect, in place of the configuration's." env:"ROUTER_LISTEN"`
	Discovery string `help:"Discovery's address, in place of the configuration's." env:"ROUTER_DISCOVERY"`
}

// Run serves.
func (s *serveCmd) Run() error {
	c, err := lifecycle.LoadConfig(s.Config)
	if err != nil {
		return err
	}
	if err := c.Override(s.Name, s.Listen, s.Discovery); err != nil {
		return err
	}
	log, err := zap.NewProduction(zap.WithCaller(false))
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	defer func() { _ = log.Sync() }()
	reload := func() (lifecycle.Config, error) {
		c, err := lifecycle.LoadConfig(s.Config)
		if err == nil {
			// Discovery as the file has it: the environment still names the address of the start.
			err = c.Override(s.Name, s.Listen, "")
		}
		return c, err
	}
	return lifecycle.Serve(c, reload, log)
}

type checkCmd struct{ configFlag }

// Run checks.
func (s *checkCmd) Run() error {
	c, err := lifecycle.LoadConfig(s.Config)
	if err != nil {
		return err
	}
	fmt.Printf("ok: %s listens on %s, %d classes, %d hosts known\n", c.Name, c.Listen,
		len(c.Settings.Balance.Classes), len(c.Known.Members))
	return nil
}

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run() error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	fmt.Printf("yokemast %s (%s)\n", version, runtime.Version())
	return nil
}

func main() {
	ctx := kong.Parse(&cli{}, kong.Name("yokemast"),
		kong.Description("A gateway that splits reads and writes over replicated databases."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "yokemast:", err)
		os.Exit(1)
	}
}
