package kit2

import (
	"time"

	"yokemast/internal/testbed/clients"
	"yokemast/internal/testbed/discovery"
)

// Deployment is one gateway in front of one group of hosts.
type Deployment struct {
	Listen, Admin, Config string
	Agent                 *discovery.Server
	Process               *Process
}

// Deploy starts the agent and the gateway and waits until it is ready. args follow the run command of the deploy file, env is added to the environment.
func (c *Case) Deploy(settings, args string, env []string, hosts ...*Host) (*Deployment, error) {
	d := &Deployment{Agent: NewAgent(hosts...)}
	var err error
	if d.Listen, err = FreeAddress(); err != nil {
		return nil, err
	}
	if d.Admin, err = FreeAddress(); err != nil {
		return nil, err
	}
	if d.Config, err = c.WriteConfig(d.Listen, d.Agent.Listener.Addr().String(), d.Admin, settings); err != nil {
		return nil, err
	}
	if d.Process, err = c.StartGateway("gateway", d.Config, args, env...); err != nil {
		return nil, err
	}
	return d, c.WaitReady(d.Listen)
}

// Warm sends a few reads, so that the gateway knows roles and positions.
func (c *Case) Warm(d *Deployment) error {
	client, err := clients.Start(d.Listen, "backend", 30*time.Second)
	if err != nil {
		return err
	}
	defer client.Close()
	for range 20 {
		c.Ask(client, clients.Request{Class: "list-read", Key: "shelf", Wait: 700 * time.Millisecond})
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

// Ask sends a request, waits for its answer and records both.
func (c *Case) Ask(client *clients.Client, r clients.Request) clients.Reply {
	r.ID = clients.NewID()
	c.Note("client: sends id %s, %s of %q", r.ID, r.Class, r.Key)
	got := client.Do(r, nil)
	c.Note("client: id %s answered: row %t, value %.40q, code %q, closed %t", r.ID, got.Row, got.Value, got.Code, got.Closed)
	return got
}
