package pooling

import (
	"iter"
	"slices"
	"strings"
)

// Kind classifies a statement by where it can run and by the session state that it changes.
type Kind int

// Kinds of statements.
const (
	Write Kind = iota // may change data, or its effect is unknown
	Read
	Begin
	Commit
	Rollback
	Savepoint
	RollbackTo
	Release
	Set      // SET for the session
	SetLocal // SET for the transaction
	Reset
	ResetAll
	DiscardAll
	Deallocate    // of one prepared statement
	DeallocateAll // of all prepared statements, including those prepared through the protocol
	Neutral       // has no effect that matters here
	Copy
	Empty
)

// Pin is a set of reasons why a session must keep its host connection: state that cannot be carried to
// another one.
type Pin uint8

// Reasons to pin.
const (
	PinListen Pin = 1 << iota
	PinTempTable
	PinAdvisoryLock
	PinHoldCursor
	PinSQLPrepare
	PinUntracked
	allPins = 1<<iota - 1
)

var pinNames = []string{"listen", "temporary table", "advisory lock", "cursor with hold", "prepare in sql", "untracked setting"}

// Names returns the names of the reasons in p.
func (p Pin) Names() (out []string) {
	for i, name := range pinNames {
		if p&(1<<i) != 0 {
			out = append(out, name)
		}
	}
	return out
}

// PinNames returns the names of all reasons in the order of their bits.
func PinNames() []string { return pinNames }

// Command is one classified statement.
type Command struct {
	Kind     Kind
	Name     string // of a setting, savepoint or prepared statement, in lower case unless it was quoted
	Value    string // value of a setting: the rest of the statement as written
	ReadOnly bool   // whether a Begin starts a READ ONLY transaction
	Pin      Pin    // reasons to pin that it adds
	Unpin    Pin    // reasons to pin that it removes
}

// Scan splits a text into statements and classifies them. It returns one Empty command for a text without
// statements.
func Scan(sql string) []Command { return slices.Collect(Statements(sql)) }

// Statements is Scan with the commands one by one: besides the text, only the current one has to be in memory.
func Statements(sql string) iter.Seq[Command] {
	return func(yield func(Command) bool) {
		l, w, found := lexer{sql: sql}, &statement{}, false
		for more := true; more; {
			if more = w.read(&l); w.count == 0 {
				continue
			}
			found = true
			if !yield(classify(sql, w)) {
				return
			}
		}
		if !found {
			yield(Command{Kind: Empty})
		}
	}
}

// classify classifies a statement of sql.
func classify(sql string, w *statement) Command {
	c := Command{}
	switch {
	case w.isWord(0, "begin"), w.isWord(0, "start") && w.isWord(1, "transaction"):
		c.Kind, c.ReadOnly = Begin, w.readOnly
	case w.isWord(0, "commit", "end"):
		if c.Kind = Commit; w.isWord(1, "prepared") {
			c.Kind = Write
		}
	case w.isWord(0, "abort"):
		c.Kind = Rollback
	case w.isWord(0, "rollback"):
		i := 1
		if w.isWord(i, "work", "transaction") {
			i++
		}
		switch {
		case w.isWord(1, "prepared"):
			c.Kind = Write
		case w.isWord(i, "to"):
			if i++; w.isWord(i, "savepoint") {
				i++
			}
			c.Kind, c.Name = RollbackTo, w.nameAt(i)
		default:
			c.Kind = Rollback
		}
	case w.isWord(0, "savepoint"):
		c.Kind, c.Name = Savepoint, w.nameAt(1)
	case w.isWord(0, "release"):
		i := 1
		if w.isWord(1, "savepoint") {
			i = 2
		}
		c.Kind, c.Name = Release, w.nameAt(i)
	case w.isWord(0, "set"):
		parseSet(&c, sql, w)
	case w.isWord(0, "reset"):
		switch {
		case w.isWord(1, "all"):
			c.Kind = ResetAll
		case w.isWord(1, "session"):
			// RESET SESSION AUTHORIZATION: the SET that it ends was pinned as untracked, and the session
			// stays pinned.
			c.Kind, c.Unpin = Neutral, 0
		case w.isWord(1, "time"):
			c.Kind, c.Name = Reset, "timezone"
		case w.truncated(): // no name that is known here
			c.Kind, c.Pin = Neutral, PinUntracked
		default:
			c.Kind, c.Name = Reset, settingName(w, 1)
		}
	case w.isWord(0, "discard"):
		switch {
		case w.isWord(1, "all"):
			c.Kind, c.Unpin = DiscardAll, allPins
		case w.isWord(1, "temp", "temporary"):
			c.Kind, c.Unpin = Neutral, PinTempTable
		default:
			c.Kind = Neutral
		}
	case w.isWord(0, "deallocate"):
		i := 1
		if w.isWord(1, "prepare") {
			i = 2
		}
		if c.Kind, c.Name = Deallocate, w.nameAt(i); w.isWord(i, "all") {
			c.Kind, c.Name = DeallocateAll, ""
		}
	case w.isWord(0, "prepare"):
		if c.Kind, c.Name, c.Pin = Neutral, w.nameAt(1), PinSQLPrepare; w.isWord(1, "transaction") {
			c.Kind, c.Pin = Write, 0
		}
	case w.isWord(0, "listen"):
		c.Kind, c.Pin = Neutral, PinListen
	case w.isWord(0, "unlisten"):
		if c.Kind = Neutral; w.isKind(1, '*') {
			c.Unpin = PinListen
		}
	case w.isWord(0, "declare"):
		if c.Kind = Read; w.seen(seenHold) && !w.seen(seenWithout) {
			c.Pin = PinHoldCursor
		}
		c.Pin |= w.callPins
	case w.isWord(0, "fetch", "move", "close", "checkpoint"):
		c.Kind = Read
	case w.isWord(0, "show"):
		c.Kind = Neutral
	case w.isWord(0, "copy"):
		c.Kind = Copy
	case w.isWord(0, "create"):
		if w.isWord(1, "temp", "temporary") || w.isWord(1, "local", "global") && w.isWord(2, "temp", "temporary") ||
			w.isWord(1, "or") && w.isWord(3, "temp", "temporary") {
			c.Pin = PinTempTable
		}
	case w.isWord(0, "do", "load"), w.isWord(0, "set_config"):
		c.Pin = PinUntracked // the code that it runs is not analyzed
	case w.isWord(0, "explain"):
		if c.Kind = Read; w.seen(seenAnalyze) {
			c.Kind = Write
		}
	case w.isWord(0, "select", "values", "table", "with"), w.isKind(0, '('):
		if !w.changes {
			c.Kind = Read
		}
		if w.seen(seenInto) && w.seen(seenTemporary) {
			c.Pin |= PinTempTable
		}
		c.Pin |= w.callPins
	default:
		c.Pin |= w.callPins
	}
	return c
}

// parseSet parses the forms of SET.
func parseSet(c *Command, sql string, w *statement) {
	i := 1
	c.Kind = Set
	if w.isWord(1, "local") {
		c.Kind = SetLocal
		i = 2
	} else if w.isWord(1, "session") {
		i = 2
	}
	switch {
	case w.isWord(i, "transaction"), w.isWord(i, "constraints"):
		c.Kind = Neutral // ends with the transaction
		return
	case w.isWord(1, "session") && w.isWord(2, "characteristics", "authorization"), w.isWord(i, "session"):
		c.Kind, c.Pin = Neutral, PinUntracked
		return
	case w.isWord(i, "time") && w.isWord(i+1, "zone"):
		c.Name, c.Value = "timezone", w.textFrom(sql, i+2)
		if w.isWord(i+2, "local") {
			c.Value = "default"
		}
	case w.isWord(i, "schema"):
		c.Name, c.Value = "search_path", w.textFrom(sql, i+1)
	case w.isWord(i, "xml") && w.isWord(i+1, "option"):
		c.Name, c.Value = "xmloption", w.textFrom(sql, i+2)
	case w.isWord(i, "names"):
		if c.Name, c.Value = "client_encoding", w.textFrom(sql, i+1); c.Value == "" {
			c.Value = "default"
		}
	case w.isWord(i, "role") && !w.isWord(i+1, "to") && !w.isKind(i+1, '='):
		c.Name, c.Value = "role", w.textFrom(sql, i+1)
		if w.isWord(i+1, "none") {
			c.Value = "'none'"
		}
	default:
		c.Name = settingName(w, i)
		for i++; i < len(w.head) && !w.isKind(i, '=') && !w.isWord(i, "to"); i++ {
		}
		c.Value = w.textFrom(sql, i+1)
	}
	if c.Name == "" || c.Value == "" {
		// Invalid, so that the host returns the error, or a form that is not known here.
		if *c = (Command{Kind: Neutral, Pin: PinUntracked}); i > 1 && w.isWord(1, "local") {
			c.Pin = 0 // ends with the transaction
		}
		return
	}
	if strings.EqualFold(c.Value, "default") {
		c.Value = ""
		if c.Kind == Set {
			c.Kind = Reset
		}
	}
}

// settingName returns the setting's name that starts at token i. It may have a prefix, as in app.tenant.
func settingName(w *statement, i int) string {
	name := strings.ToLower(w.nameAt(i))
	for i++; i+1 < len(w.head) && w.isKind(i, '.') && name != ""; i += 2 {
		name += "." + strings.ToLower(w.nameAt(i+1))
	}
	return name
}
