package hosts

import (
	"fmt"
	"os"
	"sync/atomic"
)

// started counts the hosts of this process.
var started atomic.Uint32

// unusedAddress returns an address to listen on, with port 0 for any port, whose IP address no other host of this process has
// and nothing else listens on. At an IP address that others use, the port of a crashed host is free for the next listener that
// asks for any port, which would then get the requests meant for the host.
func unusedAddress() string {
	const firstNetwork, networks, subnets, perSubnet = 2, 62, 256, 250 // 127.2.0.1 to 127.63.255.250; tests of cmd use higher ones
	n := started.Add(1) - 1
	return fmt.Sprintf("127.%d.%d.%d:0", firstNetwork+os.Getpid()%networks, n/perSubnet%subnets, 1+n%perSubnet)
}
