package settings

import (
	"strings"
	"testing"

	"github.com/tidwall/gjson"
)

func TestShape(t *testing.T) {
	const good = `{"name":"n0","known":{"members":[]},"settings":{"limits":{"maxAttempts":10,"probes":true},
		"profiles":[{"name":"a","giveUp":5,"onTime":1,"aimStretch":2},{"name":"b","giveUp":6,"onTime":2,"extra":1}],"tenants":[]}}`
	shape := ShapeOf(gjson.Parse(good), "known")
	for name, c := range map[string]struct{ from, to, want string }{
		"the same":                    {``, ``, ""},
		"a free key lost":             {`"known":{"members":[]},`, ``, ""},
		"a key that may lack":         {`,"tenants":[]`, ``, ""},
		"true for false":              {`"probes":true`, `"probes":false`, ""},
		"a class more":                {`{"name":"b"`, `{"name":"c","giveUp":1,"onTime":1},{"name":"b"`, ""},
		"a key that one element has":  {`,"extra":1`, ``, ""},
		"a key more":                  {`"name":"n0"`, `"name":"n0","new":[1]`, ""},
		"a key of a class lost":       {`"giveUp":6,`, ``, "settings.profiles.1.giveUp: missing"},
		"a key at the top lost":       {`"name":"n0",`, ``, "name: missing"},
		"a key of the limits lost":    {`"maxAttempts":10,`, ``, "settings.limits.maxAttempts: missing"},
		"another type":                {`"maxAttempts":10`, `"maxAttempts":"10"`, `settings.limits.maxAttempts: not of its type: "10"`},
		"a list that is none":         {`"profiles":[`, `"profiles":{"x":[`, "settings.profiles: not of its type"},
		"a deadline of nothing":       {`"giveUp":6`, `"giveUp":0`, "settings.profiles.1.giveUp: not a positive number: 0"},
		"a deadline below nothing":    {`"giveUp":6`, `"giveUp":-6`, "settings.profiles.1.giveUp: not a positive number: -6"},
		"attempts that are no number": {`"maxAttempts":10`, `"maxAttempts":null`, "settings.limits.maxAttempts: not of its type: null"},
		"no attempts":                 {`"maxAttempts":10`, `"maxAttempts":0`, "settings.limits.maxAttempts: not a positive number: 0"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(good, c.from, c.to, 1)
			if c.from == `"profiles":[` {
				text = strings.Replace(text, `}],"tenants"`, `}]},"tenants"`, 1)
			}
			v := gjson.Parse(text)
			err := shape.Check(v)
			if err == nil {
				err = CheckPositive(v.Get("settings"))
			}
			if got := errText(err); !strings.HasPrefix(got, c.want) || (c.want == "") != (got == "") {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
