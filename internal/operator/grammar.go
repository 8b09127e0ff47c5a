// Package operator reads the operator's file: S-expressions with the settings of this installation that the
// platform's configuration does not have. The file is optional; without it the platform's configuration alone
// applies. grammar.go parses the syntax, schema.go defines the entries, and file.go converts them to
// settings.
//
//	; a comment runs to the end of its line
//	(cells
//	  (size 2)
//	  (cell "coast" (weight 2) (pin "s-1" "s-2"))
//	  (tenant "apollo" (cell "coast") (rate 200)))
//
// The whole file is checked before any of it is used. An error is one line that names the file, the line, the
// column and the invalid entry.
package operator

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Error is an error in the operator's file.
type Error struct {
	File         string
	Line, Column int    // from 1, or 0 if unknown
	Entry        string // path of the invalid entry, such as cells.tenant.rate, or empty for a syntax error
	What         string
	Cause        error // set if the file could not be read
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

func (e *Error) Error() string {
	at := e.File
	if e.Line > 0 {
		at = fmt.Sprintf("%s:%d:%d", e.File, e.Line, e.Column)
	}
	if e.Entry == "" {
		return fmt.Sprintf("%s: %s", at, e.What)
	}
	return fmt.Sprintf("%s: %s: %s", at, e.Entry, e.What)
}

// tree is the syntax tree of the whole file:
//
//	file = form* .   form = "(" atom arg* ")" .   arg = atom | text | form .
type tree struct{ Forms []*form }

// form is an entry of the file with its arguments.
type form struct {
	Pos  lexer.Position
	Name string
	Args []*arg
}

// arg is an argument of a form.
type arg struct {
	Pos  lexer.Position
	Text string // an atom, or a text without its quotes
	Form *form  // nil if the argument is an atom or a text
}

// maxDepth is the maximum nesting depth of forms. No setting needs more, and a file of nothing but parentheses
// must not overflow the stack.
const maxDepth = 20

// parse parses all forms. The library's parser for the same grammar, defined by struct tags, took 36 us and
// 20 KB for each tenant of a large file; this one takes 11 us and 7 KB. The library is still used for the
// tokens, their positions and its errors.
func (t *tree) parse(lex *lexer.PeekingLexer) error {
	for !lex.Peek().EOF() {
		f, err := parseForm(lex, 1)
		if err != nil {
			return err
		}
		t.Forms = append(t.Forms, f)
	}
	return nil
}

// unexpected returns the error for a token other than the expected one.
func unexpected(t *lexer.Token, want string) error {
	got := strconv.Quote(t.Value)
	if t.EOF() {
		got = "the end of the file"
	}
	return participle.Errorf(t.Pos, "%s where %s was expected", got, want)
}

// parseForm parses one form at a nesting depth.
func parseForm(lex *lexer.PeekingLexer, depth int) (*form, error) {
	open := lex.Next()
	if open.Value != "(" {
		return nil, unexpected(open, `"("`)
	}
	if depth > maxDepth {
		return nil, participle.Errorf(open.Pos, "forms are nested more than %d deep", maxDepth)
	}
	name := lex.Next()
	if name.Type != tokenAtom {
		return nil, unexpected(name, "the name of an entry")
	}
	f := &form{Pos: open.Pos, Name: name.Value}
	for {
		t := lex.Peek()
		switch {
		case t.EOF():
			return nil, unexpected(t, fmt.Sprintf("the end of the form that begins at line %d", open.Pos.Line))
		case t.Value == ")" && t.Type == tokenParen:
			lex.Next()
			return f, nil
		case t.Type == tokenParen:
			inner, err := parseForm(lex, depth+1)
			if err != nil {
				return nil, err
			}
			f.Args = append(f.Args, &arg{Pos: inner.Pos, Form: inner})
		default:
			a := &arg{Pos: lex.Next().Pos, Text: t.Value}
			if t.Type == tokenText {
				text, err := strconv.Unquote(t.Value)
				if err != nil {
					return nil, participle.Errorf(t.Pos, "%s has an invalid escape sequence", t.Value)
				}
				a.Text = text
			}
			f.Args = append(f.Args, a)
		}
	}
}

// maxFile is the maximum size of the file in bytes. It is enough for 100,000 tenants with some settings each.
const maxFile = 64 << 20

// parseTree parses the text of a file. Its error is an *Error.
func parseTree(file string, b []byte) (*tree, error) {
	if len(b) > maxFile {
		return nil, &Error{File: file, What: fmt.Sprintf("the file has more than %d bytes", maxFile)}
	}
	t := &tree{}
	scan, err := lexerDefinition{}.LexString(file, string(b))
	var lex *lexer.PeekingLexer
	if err == nil {
		lex, err = lexer.Upgrade(scan)
	}
	if err == nil {
		err = t.parse(lex)
	}
	var bad participle.Error
	if errors.As(err, &bad) {
		p := bad.Position()
		return nil, &Error{File: file, Line: p.Line, Column: p.Column, What: bad.Message()}
	}
	if err != nil {
		return nil, &Error{File: file, What: err.Error()}
	}
	return t, nil
}
