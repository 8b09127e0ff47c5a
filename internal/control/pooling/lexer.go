package pooling

import "strings"

type token struct {
	text  string // identifiers and key words in lower case, quoted identifiers without their quotes
	kind  byte   // w: identifier or key word, q: quoted identifier, s: string, n: number, else the character itself
	start int    // start offset in the text
	end   int    // end offset
}

// lexer splits SQL into tokens, without comments and white space. It follows PostgreSQL's rules for strings, dollar quotes and
// nested comments (documentation, 4.1 Lexical Structure). Unterminated tokens extend to the end of the text. It holds no
// tokens: a statement has up to as many as its text has bytes.
type lexer struct {
	sql string
	pos int
}

// next returns the next token. ok is false at the end of the text.
func (l *lexer) next() (t token, ok bool) {
	l.skipBlanks()
	if l.pos >= len(l.sql) {
		return token{}, false
	}
	sql, i := l.sql, l.pos
	c, start := sql[i], i
	text, kind := "", c
	switch {
	case c == '\'':
		i = quotedEnd(sql, i, '\'', false)
		text, kind = sql[start:i], 's'
	case c == '"':
		i = quotedEnd(sql, i, '"', false)
		text, kind = strings.ReplaceAll(strings.TrimSuffix(sql[start+1:i], `"`), `""`, `"`), 'q'
	case c == '$' && dollarTagLen(sql[i:]) > 0:
		i = dollarQuoteEnd(sql, i)
		text, kind = sql[start:i], 's'
	case isIdentStart(c):
		for i < len(sql) && (isIdentStart(sql[i]) || sql[i] >= '0' && sql[i] <= '9' || sql[i] == '$') {
			i++
		}
		text, kind = strings.ToLower(sql[start:i]), 'w'
		if i < len(sql) && sql[i] == '\'' && (text == "e" || text == "b" || text == "x" || text == "n") {
			i = quotedEnd(sql, i, '\'', text == "e")
			text, kind = sql[start:i], 's'
		}
	case c >= '0' && c <= '9':
		for i < len(sql) && (isIdentStart(sql[i]) || sql[i] >= '0' && sql[i] <= '9' || sql[i] == '.') {
			i++
		}
		text, kind = sql[start:i], 'n'
	default:
		i++
		text = sql[start:i]
	}
	l.pos = i
	return token{text, kind, start, i}, true
}

// skipBlanks moves past white space and comments.
func (l *lexer) skipBlanks() {
	for l.pos < len(l.sql) {
		switch c := l.sql[l.pos]; {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v':
			l.pos++
		case strings.HasPrefix(l.sql[l.pos:], "--"):
			if n := strings.IndexByte(l.sql[l.pos:], '\n'); n >= 0 {
				l.pos += n + 1
			} else {
				l.pos = len(l.sql)
			}
		case strings.HasPrefix(l.sql[l.pos:], "/*"):
			l.pos = commentEnd(l.sql, l.pos)
		default:
			return
		}
	}
}

// commentEnd returns the end of the comment that starts at i. Comments nest.
func commentEnd(sql string, i int) int {
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
	return i
}

// dollarQuoteEnd returns the end of the dollar-quoted text that starts at i.
func dollarQuoteEnd(sql string, i int) int {
	n := dollarTagLen(sql[i:])
	end := strings.Index(sql[i+n:], sql[i:i+n])
	if end < 0 {
		return len(sql)
	}
	return i + n + end + n
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
