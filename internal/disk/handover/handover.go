// Package handover encodes the handover state that the old process of a hot restart passes to the new one: what
// it knows of the hosts. State that is not complete or has an unsupported version is ignored as a whole; the
// new process then starts with discovery alone.
//
// The encoding is a header of 16 bytes (4 bytes "ymho", version, 2 unused bytes, length of the body, CRC-32C of
// the body; big-endian) followed by a body in JSON. Times are Unix times in milliseconds by the old process's
// clock, which is set back so that it showed a whole number of milliseconds when the state was collected.
// Positions and the newest write are by the fleet's clock. 0 stands for an unknown time. Positions are rounded
// down, start times up.
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
	// versionLocalClock is the version with positions and the newest write by the clock of the process.
	// versionRoles is the version with a role and the time at which the answer that stated it was handled. Of
	// both versions only what counts against a host is used.
	versionLocalClock, versionRoles = 2, 1
	headerSize                      = 16
	// MaxBytes is the maximum size of encoded handover state, enough for some thousands of hosts. Longer data
	// is invalid.
	MaxBytes = 4 << 20
	// maxAge is the maximum age of handover state. It passes directly from process to process, so a later
	// arrival means that it was stuck.
	maxAge = 10 * time.Second
)

// Host is what the old process knew of one host.
type Host struct {
	Server, Address  string
	Group            int
	State            balance.State
	Listed           bool // listed as primary
	Weight           float64
	Started          time.Duration // latest start that was listed or observed, or 0 if long ago
	PrimaryNotBefore time.Duration // notBefore of the newest statement that it is primary, or 0 if none
	ReplicaNotAfter  time.Duration // notAfter of the newest statement that it is not primary, or 0 if none
	Position         time.Duration // replay position of its log, or 0 if unknown
	Alive            bool          // not ejected after failures
	NotifiedFor      time.Duration // time since the drain notification when the state was collected, or 0 if it does not drain
	NotifiedBy       string        // agent of discovery that sent the latest drain notification, or "" if unknown
	NotifiedRevision int64         // revision of the endpoint list with that notification
}

// State is the handover state.
type State struct {
	At       time.Duration // when the state was collected; after decoding, the earliest time at which it may have been
	Revision int64         // revision of the endpoint list, or negative if none
	Agent    string        // agent of discovery that sent the list, or "" if unknown
	// Discovery is the agent that the old process queries, which may not have answered yet, and FirstDiscovery
	// the agent that it was started with. Each is "" if unknown.
	Discovery, FirstDiscovery string
	Newest                    time.Duration // position of the newest remembered write of any session, or 0 if none
	Hosts                     []Host

	ClockKnown bool                // whether Offset is known
	Offset     fleetclock.Interval // offset of the fleet's clock from the clock of At
}

// body defines the keys of the JSON body. Decode uses the same keys.
type body struct {
	At        int64  `json:"at"`
	Revision  int64  `json:"revision"`
	Agent     string `json:"agent"`
	Discovery string `json:"discovery"`
	First     string `json:"first_discovery"`
	Newest    int64  `json:"newest"`
	Hosts     []host `json:"hosts"`
	Clock     bool   `json:"clock"`
	OffsetMin int64  `json:"ahead_least"`
	OffsetMax int64  `json:"ahead_most"`
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

// floorMillis and ceilMillis convert to milliseconds, rounding towards negative and positive infinity.
func floorMillis(d time.Duration) int64 {
	ms := d.Milliseconds()
	if fromMillis(ms) > d {
		ms--
	}
	return ms
}
func ceilMillis(d time.Duration) int64  { return -floorMillis(-d) }
func fromMillis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Encode encodes handover state.
func Encode(state State) ([]byte, error) {
	at := floorMillis(state.At)
	setBack := state.At - fromMillis(at) // the clock is set back by this duration
	b := body{At: at, Revision: state.Revision, Agent: state.Agent, Discovery: state.Discovery, First: state.FirstDiscovery, Newest: ceilMillis(state.Newest), Hosts: make([]host, 0, len(state.Hosts)),
		Clock: state.ClockKnown, OffsetMin: floorMillis(state.Offset.Min + setBack), OffsetMax: ceilMillis(state.Offset.Max + setBack)}
	for _, h := range state.Hosts {
		b.Hosts = append(b.Hosts, host{h.Server, h.Address, h.Group, int(h.State), h.Listed, h.Weight, ceilMillis(shift(h.Started, -setBack)),
			floorMillis(shift(h.PrimaryNotBefore, -setBack)), ceilMillis(shift(h.ReplicaNotAfter, -setBack)), floorMillis(h.Position), h.Alive, ceilMillis(h.NotifiedFor), h.NotifiedBy, h.NotifiedRevision})
	}
	text, err := json.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return append(header(version, text), text...), nil
}

// shift converts a time to a clock that is ahead by the given duration. 0 stands for no time and stays 0.
func shift(t, by time.Duration) time.Duration {
	if t == 0 {
		return 0
	}
	return t + by
}

func headerVersion(b []byte) uint16 { return binary.BigEndian.Uint16(b[4:]) }

func header(version uint16, text []byte) []byte {
	out := append(make([]byte, 0, headerSize+len(text)), magic...)
	out = binary.BigEndian.AppendUint16(out, version)
	out = binary.BigEndian.AppendUint16(out, 0)
	out = binary.BigEndian.AppendUint32(out, uint32(len(text)))
	return binary.BigEndian.AppendUint32(out, crc32.Checksum(text, crc32.MakeTable(crc32.Castagnoli)))
}

// UnknownWrite stands for the newest write if its position is unknown. It is later than any position.
const UnknownWrite = time.Duration(math.MaxInt64 / 2)

// Errors for handover state that is not used.
var (
	ErrCorrupt     = errors.New("handover: incomplete or corrupt")
	ErrVersion     = errors.New("handover: unsupported version")
	ErrTooOld      = errors.New("handover: too old")
	ErrInvalidHost = errors.New("handover: invalid host")
)

// Decode decodes handover state that was requested at requestedAt and has arrived by now, both by this
// process's clock, to which it converts all times. The machine's clock may have been stepped by any amount
// between the starts of the two processes. The state was collected between the request and its arrival, which
// bounds the difference of the two clocks on both sides. Each time is converted with the safe bound: the time of
// a statement that a host is primary never becomes later than it was, the time of a statement that it is not
// primary and the start of a host never become earlier, and the interval of the fleet's clock's offset still
// contains the actual offset.
func Decode(requestedAt, now time.Duration, b []byte) (State, error) {
	switch {
	case now-requestedAt > maxAge:
		return State{}, fmt.Errorf("%w: arrived after %s", ErrTooOld, now-requestedAt)
	case len(b) < headerSize || len(b) > MaxBytes || string(b[:4]) != magic:
		return State{}, fmt.Errorf("%w: %d bytes", ErrCorrupt, len(b))
	case headerVersion(b) != version && headerVersion(b) != versionLocalClock && headerVersion(b) != versionRoles:
		return State{}, fmt.Errorf("%w: %d, expected %d", ErrVersion, headerVersion(b), version)
	}
	text := b[headerSize:]
	if string(header(headerVersion(b), text)) != string(b[:headerSize]) || !gjson.ValidBytes(text) {
		return State{}, fmt.Errorf("%w: wrong length, checksum or JSON", ErrCorrupt)
	}
	root := gjson.ParseBytes(text)
	state := State{At: fromMillis(root.Get("at").Int()), Revision: root.Get("revision").Int(), Agent: root.Get("agent").Str, Discovery: root.Get("discovery").Str,
		FirstDiscovery: root.Get("first_discovery").Str, Newest: fromMillis(root.Get("newest").Int())}
	state.ClockKnown = root.Get("clock").Bool() && headerVersion(b) == version // earlier versions treated a nearly correct clock as exact
	state.Offset = fleetclock.Interval{Min: fromMillis(root.Get("ahead_least").Int()), Max: fromMillis(root.Get("ahead_most").Int())}
	if headerVersion(b) != version && state.Newest > 0 {
		state.Newest = UnknownWrite
	}
	minDiff, maxDiff := requestedAt-state.At, now-state.At // bounds of this process's clock minus the old one's
	state.At, state.Offset = requestedAt, fleetclock.Interval{Min: state.Offset.Min - maxDiff, Max: state.Offset.Max - minDiff}
	for i, e := range root.Get("hosts").Array() {
		h := Host{Server: e.Get("id").Str, Address: e.Get("address").Str, Group: int(e.Get("group").Int()),
			State: balance.State(e.Get("state").Int()), Listed: e.Get("listed").Bool(), Weight: e.Get("weight").Num,
			Started: fromMillis(e.Get("started").Int()), PrimaryNotBefore: fromMillis(e.Get("leads").Int()), ReplicaNotAfter: fromMillis(e.Get("follows").Int()),
			Position: fromMillis(e.Get("position").Int()), Alive: e.Get("alive").Bool(),
			NotifiedFor: fromMillis(e.Get("notified_for").Int()), NotifiedBy: e.Get("told_by").Str,
			NotifiedRevision: e.Get("told_in").Int()}
		if headerVersion(b) != version {
			h.Position, h.PrimaryNotBefore = 0, 0 // dated by a clock that may have been wrong
			if headerVersion(b) == versionRoles && balance.Role(e.Get("role").Int()) == balance.Replica {
				h.ReplicaNotAfter = fromMillis(e.Get("role_at").Int()) // not earlier than the answer
			}
		}
		h.PrimaryNotBefore, h.Started, h.ReplicaNotAfter = shift(h.PrimaryNotBefore, minDiff), shift(h.Started, maxDiff), shift(h.ReplicaNotAfter, maxDiff)
		// Times in the future would make stale data count as fresh indefinitely.
		if h.Server == "" || h.State < balance.Active || h.State > balance.Removed || h.PrimaryNotBefore > now ||
			state.ClockKnown && h.Position > now+state.Offset.Max+time.Millisecond ||
			h.Position < 0 || h.PrimaryNotBefore < 0 || h.ReplicaNotAfter < 0 || h.Started < 0 || h.NotifiedFor < 0 {
			return State{}, fmt.Errorf("%w: hosts.%d", ErrInvalidHost, i)
		}
		state.Hosts = append(state.Hosts, h)
	}
	return state, nil
}
