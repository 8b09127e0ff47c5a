package operator

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// Reference writes the schema as the tables of docs/operate/configuration.md.
func Reference(w io.Writer) error {
	var b strings.Builder
	var sections func(path string, entries []Entry)
	sections = func(path string, entries []Entry) {
		for _, e := range entries {
			if e.Kind != Section {
				continue
			}
			name := strings.TrimPrefix(path+"."+e.Name, ".")
			title := ""
			if e.Titled {
				title = " NAME"
			}
			fmt.Fprintf(&b, "### `(%s%s ...)`, as `%s`\n\n%s\n\n| entry | takes | unit | default | bounds | |\n| --- | --- | --- | --- | --- | --- |\n",
				e.Name, title, name, e.Doc)
			for _, x := range e.Entries {
				if x.Kind != Section {
					fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", x.Name, x.Kind, x.Unit, x.Default, x.bounds(), x.Doc)
				}
			}
			b.WriteString("\n")
			sections(name, e.Entries)
		}
	}
	sections("", Schema())
	_, err := io.WriteString(w, strings.TrimRight(b.String(), "\n")+"\n")
	return err
}

// bounds returns the bounds of a number, a time or a mode as text.
func (e *Entry) bounds() string {
	show := func(f float64) string {
		switch e.Kind {
		case Duration:
			return time.Duration(f).String()
		case Mode:
			return fmt.Sprintf("%04o", int(f))
		}
		return formatNumber(f)
	}
	switch {
	case e.Max > 0:
		return show(e.Min) + " to " + show(e.Max)
	case e.Kind == Count || e.Kind == Number:
		return "from " + show(e.Min)
	}
	return ""
}
