package hosts

import (
	"net"
	"testing"
)

// Guards against a crashed host whose port goes to another listener: a gateway would send the host's requests there, and the host
// could not restart.
func TestCrashedHostKeepsItsAddress(t *testing.T) {
	c, err := NewCluster(1, "s-", 2, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for _, h := range c.Hosts() {
		h.Crash()
		_, port, err := net.SplitHostPort(h.Address)
		if err != nil {
			t.Fatal(err)
		}
		for _, ip := range []string{"127.0.0.1", "127.64.0.1"} { // where other stand-ins and the gateways listen
			other, err := net.Listen("tcp", net.JoinHostPort(ip, port))
			if err != nil {
				t.Fatal(err)
			}
			defer other.Close()
		}
		if conn, err := net.Dial("tcp", h.Address); err == nil {
			conn.Close()
			t.Errorf("%s: something else listens at the crashed host's address", h.ID)
		}
		if err := h.Restart(); err != nil {
			t.Errorf("%s: %v", h.ID, err)
		}
	}
	if a, b := c.Hosts()[0].Address, c.Hosts()[1].Address; ipOf(a) == ipOf(b) {
		t.Errorf("two hosts at one IP address: %s, %s", a, b)
	}
}

func ipOf(address string) string {
	ip, _, _ := net.SplitHostPort(address)
	return ip
}
