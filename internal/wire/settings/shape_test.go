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
		"unchanged":                      {``, ``, ""},
		"optional top-level key missing": {`"known":{"members":[]},`, ``, ""},
		"optional key missing":           {`,"tenants":[]`, ``, ""},
		"false instead of true":          {`"probes":true`, `"probes":false`, ""},
		"class added":                    {`{"name":"b"`, `{"name":"c","giveUp":1,"onTime":1},{"name":"b"`, ""},
		"key of one element missing":     {`,"extra":1`, ``, ""},
		"key added":                      {`"name":"n0"`, `"name":"n0","new":[1]`, ""},
		"key of a class missing":         {`"giveUp":6,`, ``, "settings.profiles.1.giveUp: missing"},
		"top-level key missing":          {`"name":"n0",`, ``, "name: missing"},
		"key of the limits missing":      {`"maxAttempts":10,`, ``, "settings.limits.maxAttempts: missing"},
		"string instead of number":       {`"maxAttempts":10`, `"maxAttempts":"10"`, `settings.limits.maxAttempts: wrong type: "10"`},
		"object instead of array":        {`"profiles":[`, `"profiles":{"x":[`, "settings.profiles: wrong type"},
		"zero deadline":                  {`"giveUp":6`, `"giveUp":0`, "settings.profiles.1.giveUp: not a positive number: 0"},
		"negative deadline":              {`"giveUp":6`, `"giveUp":-6`, "settings.profiles.1.giveUp: not a positive number: -6"},
		"null attempts":                  {`"maxAttempts":10`, `"maxAttempts":null`, "settings.limits.maxAttempts: wrong type: null"},
		"zero attempts":                  {`"maxAttempts":10`, `"maxAttempts":0`, "settings.limits.maxAttempts: not a positive number: 0"},
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
				t.Errorf("error %q, want %q", got, c.want)
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
