package pooling

import (
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

type token struct {
	text  string // identifiers and key words in lower case, quoted identifiers without their quotes
	kind  byte   // w: identifier or key word, q: quoted identifier, s: string, n: number, else the character itself
	start int    // start offset in the text
	end   int    // end offset
}

// lex splits SQL into tokens, without comments and white space. It follows PostgreSQL's rules for strings,
// dollar quotes and nested comments (documentation, 4.1 Lexical Structure). Unterminated tokens extend to the
// end of the text.
func lex(sql string) (out []token) {
	for i := 0; i < len(sql); {
		c, start := sql[i], i
		switch {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v':
			i++
			continue
		case strings.HasPrefix(sql[i:], "--"):
			if n := strings.IndexByte(sql[i:], '\n'); n >= 0 {
				i += n + 1
			} else {
				i = len(sql)
			}
			continue
		case strings.HasPrefix(sql[i:], "/*"):
			depth := 1
			for i += 2; i < len(sql) && depth > 0; {
				switch {
				case strings.HasPrefix(sql[i:], "/*"):
					depth++
					i += 2
				case strings.HasPrefix(sql[i:], "*/"):
					depth--
					i += 2
				default:
					i++
				}
			}
			continue
		case c == '\'':
			i = quotedEnd(sql, i, '\'', false)
			out = append(out, token{sql[start:i], 's', start, i})
		case c == '"':
			i = quotedEnd(sql, i, '"', false)
			name := strings.TrimSuffix(sql[start+1:i], `"`)
			out = append(out, token{strings.ReplaceAll(name, `""`, `"`), 'q', start, i})
		case c == '$' && dollarTagLen(sql[i:]) > 0:
			n := dollarTagLen(sql[i:])
			tag := sql[i : i+n]
			if end := strings.Index(sql[i+n:], tag); end >= 0 {
				i += n + end + n
			} else {
				i = len(sql)
			}
			out = append(out, token{sql[start:i], 's', start, i})
		case isIdentStart(c):
			for i < len(sql) && (isIdentStart(sql[i]) || sql[i] >= '0' && sql[i] <= '9' || sql[i] == '$') {
				i++
			}
			word := strings.ToLower(sql[start:i])
			if i < len(sql) && sql[i] == '\'' && (word == "e" || word == "b" || word == "x" || word == "n") {
				i = quotedEnd(sql, i, '\'', word == "e")
				out = append(out, token{sql[start:i], 's', start, i})
				continue
			}
			out = append(out, token{word, 'w', start, i})
		case c >= '0' && c <= '9':
			for i < len(sql) && (isIdentStart(sql[i]) || sql[i] >= '0' && sql[i] <= '9' || sql[i] == '.') {
				i++
			}
			out = append(out, token{sql[start:i], 'n', start, i})
		default:
			i++
			out = append(out, token{sql[start:i], c, start, i})
		}
	}
	return out
}

// isIdentStart reports whether an unquoted identifier can start with c.
func isIdentStart(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

// quotedEnd returns the end of the quoted text that starts at i. A doubled quote stands for the quote
// character.
func quotedEnd(sql string, i int, quote byte, backslash bool) int {
	for i++; i < len(sql); i++ {
		switch {
		case backslash && sql[i] == '\\':
			i++
		case sql[i] == quote:
			if i+1 < len(sql) && sql[i+1] == quote {
				i++
				continue
			}
			return i + 1
		}
	}
	return len(sql)
}

// dollarTagLen returns the length of the dollar quote tag at the start of s. It returns 0 if there is none,
// as in the parameter $1.
func dollarTagLen(s string) int {
	for i := 1; i < len(s); i++ {
		switch c := s[i]; {
		case c == '$':
			return i + 1
		case !isIdentStart(c) && (i == 1 || c < '0' || c > '9'):
			return 0
		}
	}
	return 0
}

// Scan splits a text into statements and classifies them. It returns one Empty command for a text without
// statements.
func Scan(sql string) (out []Command) {
	tokens := lex(sql)
	for start := 0; start <= len(tokens); {
		end := start
		for end < len(tokens) && tokens[end].kind != ';' {
			end++
		}
		if end > start {
			out = append(out, classify(sql, tokens[start:end]))
		}
		start = end + 1
	}
	if len(out) == 0 {
		out = append(out, Command{Kind: Empty})
	}
	return out
}

// statementTokens are the tokens of one statement.
type statementTokens []token

// isWord reports whether token i is an unquoted word and one of the given ones.
func (w statementTokens) isWord(i int, any ...string) bool {
	if i >= len(w) || w[i].kind != 'w' {
		return false
	}
	for _, x := range any {
		if w[i].text == x {
			return true
		}
	}
	return false
}

// nameAt returns the identifier at token i, or "" if token i is not one.
func (w statementTokens) nameAt(i int) string {
	if i < len(w) && (w[i].kind == 'w' || w[i].kind == 'q') {
		return w[i].text
	}
	return ""
}

// hasWord reports whether any token is one of the given unquoted words.
func (w statementTokens) hasWord(any ...string) bool {
	for i := range w {
		if w.isWord(i, any...) {
			return true
		}
	}
	return false
}

// textFrom returns the text from token i on, as written.
func (w statementTokens) textFrom(sql string, i int) string {
	if i >= len(w) {
		return ""
	}
	return sql[w[i].start:w[len(w)-1].end]
}

// classify classifies the statement of sql that consists of the tokens t.
func classify(sql string, t []token) Command {
	w := statementTokens(t)
	c := Command{}
	switch {
	case w.isWord(0, "begin"), w.isWord(0, "start") && w.isWord(1, "transaction"):
		c.Kind, c.ReadOnly = Begin, hasReadOnly(w)
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
		if c.Kind = Neutral; len(w) > 1 && w[1].kind == '*' {
			c.Unpin = PinListen
		}
	case w.isWord(0, "declare"):
		if c.Kind = Read; w.hasWord("hold") && !w.hasWord("without") {
			c.Pin = PinHoldCursor
		}
		c.Pin |= pinsOfCalls(w)
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
		if c.Kind = Read; w.hasWord("analyze", "analyse") {
			c.Kind = Write
		}
	case w.isWord(0, "select", "values", "table", "with") || len(w) > 0 && w[0].kind == '(':
		if isReadOnlyQuery(w) {
			c.Kind = Read
		}
		if w.hasWord("into") && w.hasWord("temp", "temporary") {
			c.Pin |= PinTempTable
		}
		c.Pin |= pinsOfCalls(w)
	default:
		c.Pin |= pinsOfCalls(w)
	}
	return c
}

// hasReadOnly reports whether a BEGIN or START TRANSACTION has the option READ ONLY.
func hasReadOnly(w statementTokens) bool {
	for i := range w {
		if w.isWord(i, "read") && w.isWord(i+1, "only") {
			return true
		}
	}
	return false
}

// parseSet parses the forms of SET.
func parseSet(c *Command, sql string, w statementTokens) {
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
	case w.isWord(i, "role") && !w.isWord(i+1, "to") && !(i+1 < len(w) && w[i+1].kind == '='):
		c.Name, c.Value = "role", w.textFrom(sql, i+1)
		if w.isWord(i+1, "none") {
			c.Value = "'none'"
		}
	default:
		c.Name = settingName(w, i)
		for i++; i < len(w) && w[i].kind != '=' && !w.isWord(i, "to"); i++ {
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
func settingName(w statementTokens, i int) string {
	name := strings.ToLower(w.nameAt(i))
	for i++; i+1 < len(w) && w[i].kind == '.' && name != ""; i += 2 {
		name += "." + strings.ToLower(w.nameAt(i+1))
	}
	return name
}

// pureFunctions has the functions without side effects, and the key words that can precede a parenthesis. A
// call of any other function counts as a write, as its effect is unknown.
var pureFunctions = map[string]bool{}

func init() {
	for _, f := range strings.Fields(`abs age array_agg array_length avg bit_length bool_and bool_or btrim cardinality
		ceil ceiling char_length character_length coalesce concat concat_ws convert_from convert_to count current_database
		current_schema current_setting date_part date_trunc decode div encode every exists extract floor format
		generate_series greatest grouping initcap json_agg json_build_array json_build_object jsonb_agg jsonb_build_object
		lag lead least left length localtimestamp lower lpad ltrim max md5 min mod now nullif octet_length overlay
		pg_backend_pid pg_is_in_recovery pg_last_wal_replay_lsn pg_sleep pg_typeof position power rank regexp_match
		regexp_replace repeat replace reverse right round row row_number row_to_json rpad rtrim sqrt stddev string_agg
		strpos substr substring sum timeofday to_char to_date to_json to_jsonb to_number to_timestamp translate trim trunc
		unnest upper variance version width_bucket
		in any all some values as over filter using and or not on then when case else from where select array interval
		varchar char numeric decimal bit time timestamp cast within lateral rows by join`) {
		pureFunctions[f] = true
	}
}

// isReadOnlyQuery reports whether a query only reads, judged by its key words and the functions that it calls.
func isReadOnlyQuery(w statementTokens) bool {
	for i := range w {
		switch {
		case w.isWord(i, "insert", "update", "delete", "merge", "into"):
			return false
		case w.isWord(i, "for") && w.isWord(i+1, "update", "share", "no", "key"):
			return false
		case w[i].kind == 'w' && i+1 < len(w) && w[i+1].kind == '(' && !pureFunctions[w[i].text]:
			return false
		case w[i].kind == 'q' && i+1 < len(w) && w[i+1].kind == '(':
			return false
		}
	}
	return true
}

// pinsOfCalls returns the reasons to pin that arise from function calls.
func pinsOfCalls(w statementTokens) (p Pin) {
	for i := range w {
		if w[i].kind != 'w' || i+1 >= len(w) || w[i+1].kind != '(' {
			continue
		}
		switch name := w[i].text; {
		case name == "set_config":
			p |= PinUntracked
		case strings.Contains(name, "advisory_lock") && !strings.Contains(name, "xact") && !strings.Contains(name, "unlock"):
			p |= PinAdvisoryLock
		}
	}
	return p
}
