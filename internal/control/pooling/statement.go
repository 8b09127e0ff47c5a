package pooling

import (
	"slices"
	"strings"
)

// maxHead is the number of tokens at the start of a statement that are kept. The key words that decide on its kind are the first
// few; names of settings may have many parts.
const maxHead = 64

// statement is what classify needs to know of one statement: its first tokens, and what its other tokens say.
type statement struct {
	head  []token
	count int // number of tokens
	end   int // end offset of the last token

	words    seenWords
	readOnly bool // READ ONLY stands in it
	changes  bool // as a query, it may change data: by a key word, or by a function whose effect is unknown
	callPins Pin  // reasons to pin that arise from function calls
	last     token
}

// seenWords is a set of key words that matter anywhere in a statement.
type seenWords uint8

const (
	seenHold seenWords = 1 << iota
	seenWithout
	seenAnalyze
	seenInto
	seenTemporary
)

var wordsAnywhere = map[string]seenWords{"hold": seenHold, "without": seenWithout, "analyze": seenAnalyze, "analyse": seenAnalyze,
	"into": seenInto, "temp": seenTemporary, "temporary": seenTemporary}

// read reads the next statement, up to a semicolon or the end of the text. It returns false at the end of the text.
func (w *statement) read(l *lexer) (more bool) {
	*w = statement{head: w.head[:0]}
	for {
		t, ok := l.next()
		if !ok || t.kind == ';' {
			return ok
		}
		w.add(t)
	}
}

// add records the next token.
func (w *statement) add(t token) {
	if w.count++; len(w.head) < maxHead {
		w.head = append(w.head, t)
	}
	w.end = t.end
	if t.kind == 'w' {
		w.words |= wordsAnywhere[t.text]
	}
	w.addPair(w.last, t)
	w.last = t
}

// addPair records what a token and the one after it say together. The first token of a statement stands behind a zero token.
func (w *statement) addPair(t, next token) {
	switch {
	case next.kind == 'w' && changingWords[next.text]:
		w.changes = true
	case t.kind == 'w' && t.text == "for" && next.kind == 'w' && lockingWords[next.text]:
		w.changes = true
	case next.kind == '(' && t.kind == 'q':
		w.changes = true
	case next.kind == '(' && t.kind == 'w':
		w.changes = w.changes || !pureFunctions[t.text]
		w.callPins |= pinOfCall(t.text)
	}
	w.readOnly = w.readOnly || t.kind == 'w' && t.text == "read" && next.kind == 'w' && next.text == "only"
}

// changingWords are the key words of statements that change data, anywhere in a query. lockingWords follow FOR in queries that
// lock rows.
var (
	changingWords = map[string]bool{"insert": true, "update": true, "delete": true, "merge": true, "into": true}
	lockingWords  = map[string]bool{"update": true, "share": true, "no": true, "key": true}
)

// truncated reports whether the statement has more tokens than head.
func (w *statement) truncated() bool { return w.count > len(w.head) }

// isWord reports whether token i is an unquoted word and one of the given ones.
func (w *statement) isWord(i int, any ...string) bool {
	return i < len(w.head) && w.head[i].kind == 'w' && slices.Contains(any, w.head[i].text)
}

// isKind reports whether token i is of a kind.
func (w *statement) isKind(i int, kind byte) bool { return i < len(w.head) && w.head[i].kind == kind }

// nameAt returns the identifier at token i, or "" if token i is not one.
func (w *statement) nameAt(i int) string {
	if w.isKind(i, 'w') || w.isKind(i, 'q') {
		return w.head[i].text
	}
	return ""
}

// seen reports whether any token is one of the given unquoted words.
func (w *statement) seen(words seenWords) bool { return w.words&words != 0 }

// textFrom returns the text from token i on, as written.
func (w *statement) textFrom(sql string, i int) string {
	if i >= len(w.head) {
		return ""
	}
	return sql[w.head[i].start:w.end]
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

// pinOfCall returns the reason to pin that arises from a call of a function.
func pinOfCall(name string) Pin {
	switch {
	case name == "set_config":
		return PinUntracked
	case strings.Contains(name, "advisory_lock") && !strings.Contains(name, "xact") && !strings.Contains(name, "unlock"):
		return PinAdvisoryLock
	}
	return 0
}
