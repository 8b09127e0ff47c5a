// Command yokemast is a gateway that splits reads and writes over replicated databases.
package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"yokemast/internal/lifecycle"
	"yokemast/internal/operator"
)

type cli struct {
	Serve   serveCmd   `cmd:"" help:"Run the gateway until SIGTERM. SIGHUP reloads discovery's address, the settings and the operator's file; SIGUSR1 logs the counters."`
	Check   checkCmd   `cmd:"" help:"Validate a configuration without starting a gateway."`
	Cells   cellsCmd   `cmd:"" help:"Show the cells of a running gateway, and move tenants."`
	Pools   poolsCmd   `cmd:"" help:"Show how a running gateway's clients share host connections."`
	Version versionCmd `cmd:"" help:"Print the version."`

	LeaseVoter leaseVoterCmd `cmd:"" name:"lease-voter" help:"Run one voter of the fleet's leases, which holds a lease for a task (not on this platform)."`
}

type configFlag struct {
	Config   string `help:"The configuration file." env:"ROUTER_CONFIG" required:"" type:"path"`
	Operator string `help:"The operator's file, with optional settings beyond the configuration." env:"YOKEMAST_OPERATOR" type:"path"`
}

// operator loads the operator's file. It returns nil if none is named.
func (f *configFlag) operator() (*operator.File, error) {
	if f.Operator == "" {
		return nil, nil
	}
	return operator.Load(f.Operator)
}

type serveCmd struct {
	configFlag
	Name      string `help:"The gateway's name; overrides the configuration." env:"ROUTER_NAME"`
	Listen    string `help:"The address for clients; overrides the configuration." env:"ROUTER_LISTEN"`
	Discovery string `help:"Discovery's address; overrides the configuration." env:"ROUTER_DISCOVERY"`
	LogEach   int    `help:"Maximum number of log lines of a kind per second; further ones are counted." default:"10"`
	Admin     string `help:"The address for administration calls; overrides the configuration." env:"ROUTER_ADMIN"`
}

// Run runs the gateway.
func (s *serveCmd) Run() error {
	signals := lifecycle.NotifySignals()
	c, err := lifecycle.LoadConfig(s.Config)
	if err != nil {
		return err
	}
	if err := c.Override(s.Name, s.Listen, s.Discovery, s.Admin); err != nil {
		return err
	}
	operatorFile, err := s.operator()
	if err != nil {
		return err
	}
	reload := func(old lifecycle.Config) (lifecycle.Config, error) {
		c, err := old.ReloadConfig(s.Config)
		if err == nil {
			// Discovery is taken from the file: the environment still names the address at the start.
			err = c.Override(s.Name, s.Listen, "", s.Admin)
		}
		return c, err
	}
	return lifecycle.Serve(signals, c, operatorFile, lifecycle.Reload{Config: reload, Operator: s.operator}, s.LogEach)
}

type checkCmd struct {
	configFlag
	Print     bool `help:"Print the effective settings of the operator's file, including defaults."`
	Reference bool `help:"Print only the reference of the operator's file."`
}

// Run validates the configuration and the operator's file.
func (s *checkCmd) Run() error {
	if s.Reference {
		return operator.Reference(os.Stdout)
	}
	c, err := lifecycle.LoadConfig(s.Config)
	if err != nil {
		return err
	}
	operatorFile, err := s.operator()
	if err != nil {
		return err
	}
	if s.Print && operatorFile != nil {
		return operatorFile.Print(os.Stdout)
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
