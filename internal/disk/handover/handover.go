// Package handover is the format of what one process of a gateway leaves to the next: what it knows of the hosts. Knowledge
// that can't be read whole, or is of another version, is none: the next process then starts from discovery alone.
//
// It is a head of 16 bytes (4 bytes "ymho", version, 2 bytes of nothing, length of the body, CRC-32C of the body; big-endian)
// and a body in JSON. Times are Unix times in milliseconds by the process's clock, set back so that it showed a whole number of them when
// the handover was put together; positions and the newest write are by the fleet's clock; 0 for none. Positions are rounded down, starts up.
package handover

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"time"

	"github.com/tidwall/gjson"

	"yokemast/balance"
	"yokemast/internal/control/fleetclock"
)

const (
	magic   = "ymho"
	version = 3
	// dated is the version that told positions, and the newest write, by the clock of the process; earlier ones told a role and when the
	// answer that told it was handled. Of both only what speaks against a host is taken.
	dated, earlier = 2, 1
	headSize       = 16
	// MaxBytes bounds a handover: some thousands of hosts. A longer one is torn or none.
	MaxBytes = 4 << 20
	// oldest is how old a handover may be: it is given from process to process, so that a late one is stuck somewhere.
	oldest = 10 * time.Second
)

// Host is what was known of one.
type Host struct {
	Server, Address  string
	Group            int
	State            balance.State
	Listed           bool // as the primary
	Weight           float64
	Started          time.Duration // told or seen, whichever is later; 0: long ago
	PrimaryNotBefore time.Duration // the newest word that it is the primary was made no earlier; 0: none
	ReplicaNotAfter  time.Duration // the newest word that it is none was made no later; 0: none
	Position         time.Duration // of its log; 0: not known
	Alive            bool          // not set aside
	NotifiedFor      time.Duration // since the gateway was notified that it drains, at the time of the handover; 0: it does not
	NotifiedBy       string        // agent of discovery that told so last; "": not known
	NotifiedRevision int64         // the revision of its list
}

// State is all that is handed over.
type State struct {
	At       time.Duration // when it was put together; decoded, the earliest that this may have been
	Revision int64         // of the list; below 0: none
	Agent    string        // of discovery, that told the list; "": not known
	// Discovery is the agent that is asked, which may not have answered yet, and FirstDiscovery the one that the process was started with;
	// "": not known.
	Discovery, FirstDiscovery string
	Newest                    time.Duration // of the writes of sessions that were remembered; 0: none were
	Hosts                     []Host

	ClockKnown bool                // Ahead is
	Offset     fleetclock.Interval // what the fleet's clock shows more than that of At
}

// The JSON names, in one place for both directions.
type body struct {
	At        int64  `json:"at"`
	Revision  int64  `json:"revision"`
	Agent     string `json:"agent"`
	Discovery string `json:"discovery"`
	First     string `json:"first_discovery"`
	Newest    int64  `json:"newest"`
	Hosts     []host `json:"hosts"`
	Clock     bool   `json:"clock"`
	Ahead     int64  `json:"ahead_least"`
	Most      int64  `json:"ahead_most"`
}

type host struct {
	Server   string  `json:"id"`
	Address  string  `json:"address"`
	Group    int     `json:"group"`
	State    int     `json:"state"`
	Listed   bool    `json:"listed"`
	Weight   float64 `json:"weight"`
	Started  int64   `json:"started"`
	Leads    int64   `json:"leads"`
	Follows  int64   `json:"follows"`
	Position int64   `json:"position"`
	Alive    bool    `json:"alive"`
	Notified int64   `json:"notified_for"`
	ToldBy   string  `json:"told_by"`
	ToldIn   int64   `json:"told_in"`
}

// down and up round to milliseconds, also what is below zero.
func down(d time.Duration) int64 {
	ms := d.Milliseconds()
	if of(ms) > d {
		ms--
	}
	return ms
}
func up(d time.Duration) int64  { return -down(-d) }
func of(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Encode gives the handover.
func Encode(k State) ([]byte, error) {
	at := down(k.At)
	back := k.At - of(at) // by this much the clock is set back
	b := body{At: at, Revision: k.Revision, Agent: k.Agent, Discovery: k.Discovery, First: k.FirstDiscovery, Newest: up(k.Newest), Hosts: make([]host, 0, len(k.Hosts)),
		Clock: k.ClockKnown, Ahead: down(k.Offset.Min + back), Most: up(k.Offset.Max + back)}
	for _, h := range k.Hosts {
		b.Hosts = append(b.Hosts, host{h.Server, h.Address, h.Group, int(h.State), h.Listed, h.Weight, up(moved(h.Started, -back)),
			down(moved(h.PrimaryNotBefore, -back)), up(moved(h.ReplicaNotAfter, -back)), down(h.Position), h.Alive, up(h.NotifiedFor), h.NotifiedBy, h.NotifiedRevision})
	}
	text, err := json.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return append(head(version, text), text...), nil
}

// moved is a time by another clock, which shows so much more; none stays none.
func moved(t, by time.Duration) time.Duration {
	if t == 0 {
		return 0
	}
	return t + by
}

func headVersion(b []byte) uint16 { return binary.BigEndian.Uint16(b[4:]) }

func head(version uint16, text []byte) []byte {
	out := append(make([]byte, 0, headSize+len(text)), magic...)
	out = binary.BigEndian.AppendUint16(out, version)
	out = binary.BigEndian.AppendUint16(out, 0)
	out = binary.BigEndian.AppendUint32(out, uint32(len(text)))
	return binary.BigEndian.AppendUint32(out, crc32.Checksum(text, crc32.MakeTable(crc32.Castagnoli)))
}

// Later is a newest write of which it is not known when it was: later than any position.
const Later = time.Duration(math.MaxInt64 / 2)

// Errors of a handover that is not used.
var (
	ErrTorn    = errors.New("handover: torn")
	ErrVersion = errors.New("handover: another version")
	ErrOld     = errors.New("handover: too old")
	ErrHost    = errors.New("handover: a host that makes no sense")
)

// Decode reads a handover that was asked for at a time and has come by now, both by this process's clock, to which all times in
// it are converted. The machine's clock may have been stepped between the starts of the two processes, by however little. The handover was
// put together after it was asked for and before it came, which gives two ends for how the clocks differ. Each time is converted by the end
// that is safe for it: words that a host leads are never later than they were, words that it does not and starts never earlier, and the
// fleet's clock lies inside the interval.
func Decode(asked, now time.Duration, b []byte) (State, error) {
	switch {
	case now-asked > oldest:
		return State{}, fmt.Errorf("%w: it took %s", ErrOld, now-asked)
	case len(b) < headSize || len(b) > MaxBytes || string(b[:4]) != magic:
		return State{}, fmt.Errorf("%w: %d bytes", ErrTorn, len(b))
	case headVersion(b) != version && headVersion(b) != dated && headVersion(b) != earlier:
		return State{}, fmt.Errorf("%w: %d, this program's is %d", ErrVersion, headVersion(b), version)
	}
	text := b[headSize:]
	if string(head(headVersion(b), text)) != string(b[:headSize]) || !gjson.ValidBytes(text) {
		return State{}, fmt.Errorf("%w: length or checksum", ErrTorn)
	}
	root := gjson.ParseBytes(text)
	k := State{At: of(root.Get("at").Int()), Revision: root.Get("revision").Int(), Agent: root.Get("agent").Str, Discovery: root.Get("discovery").Str,
		FirstDiscovery: root.Get("first_discovery").Str, Newest: of(root.Get("newest").Int())}
	k.ClockKnown = root.Get("clock").Bool() && headVersion(b) == version // an earlier one took a clock for right that was nearly so
	k.Offset = fleetclock.Interval{Min: of(root.Get("ahead_least").Int()), Max: of(root.Get("ahead_most").Int())}
	if headVersion(b) != version && k.Newest > 0 {
		k.Newest = Later
	}
	least, most := asked-k.At, now-k.At // what this process's clock shows more
	k.At, k.Offset = asked, fleetclock.Interval{Min: k.Offset.Min - most, Max: k.Offset.Max - least}
	for i, e := range root.Get("hosts").Array() {
		h := Host{Server: e.Get("id").Str, Address: e.Get("address").Str, Group: int(e.Get("group").Int()),
			State: balance.State(e.Get("state").Int()), Listed: e.Get("listed").Bool(), Weight: e.Get("weight").Num,
			Started: of(e.Get("started").Int()), PrimaryNotBefore: of(e.Get("leads").Int()), ReplicaNotAfter: of(e.Get("follows").Int()),
			Position: of(e.Get("position").Int()), Alive: e.Get("alive").Bool(),
			NotifiedFor: of(e.Get("notified_for").Int()), NotifiedBy: e.Get("told_by").Str,
			NotifiedRevision: e.Get("told_in").Int()}
		if headVersion(b) != version {
			h.Position, h.PrimaryNotBefore = 0, 0 // by a clock that may have been off
			if headVersion(b) == earlier && balance.Role(e.Get("role").Int()) == balance.Replica {
				h.ReplicaNotAfter = of(e.Get("role_at").Int()) // never earlier than the answer
			}
		}
		h.PrimaryNotBefore, h.Started, h.ReplicaNotAfter = moved(h.PrimaryNotBefore, least), moved(h.Started, most), moved(h.ReplicaNotAfter, most)
		// What lies ahead would pass stale data as fresh for good.
		if h.Server == "" || h.State < balance.Active || h.State > balance.Removed || h.PrimaryNotBefore > now ||
			k.ClockKnown && h.Position > now+k.Offset.Max+time.Millisecond ||
			h.Position < 0 || h.PrimaryNotBefore < 0 || h.ReplicaNotAfter < 0 || h.Started < 0 || h.NotifiedFor < 0 {
			return State{}, fmt.Errorf("%w: hosts.%d", ErrHost, i)
		}
		k.Hosts = append(k.Hosts, h)
	}
	return k, nil
}
