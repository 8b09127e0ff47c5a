package settings

import (
	"fmt"
	"slices"

	"github.com/tidwall/gjson"
)

// Shape is what a file that was once taken holds: names and types, without values. A file that is to take its place is
// held against it, as one from which a key was lost can still be read, with that key's zero in place of its value.
type Shape struct {
	kind   gjson.Type
	array  bool
	object bool
	keys   map[string]*Shape // of an object
	each   *Shape            // what all elements of an array have; nil: an empty one, or nothing
}

// ShapeOf gives the shape of a document. Keys named in free, at the top, may be lost.
func ShapeOf(v gjson.Result, free ...string) *Shape {
	s := &Shape{kind: v.Type, array: v.IsArray(), object: v.IsObject()}
	switch {
	case s.object:
		s.keys = map[string]*Shape{}
		v.ForEach(func(k, v gjson.Result) bool {
			if !slices.Contains(free, k.Str) && !slices.Contains(mayLack, k.Str) {
				s.keys[k.Str] = ShapeOf(v)
			}
			return true
		})
	case s.array:
		for i, e := range v.Array() {
			if of := ShapeOf(e); i == 0 {
				s.each = of
			} else {
				s.each = s.each.common(of)
			}
		}
	}
	return s
}

// mayLack are keys that the protocol lets a file lack.
var mayLack = []string{"aimStretch", "droppedStayOpen", "tenants"}

// common is the shape that two have in common.
func (s *Shape) common(o *Shape) *Shape {
	if s == nil || o == nil || s.kind != o.kind || s.array != o.array || s.object != o.object {
		return nil
	}
	out := &Shape{kind: s.kind, array: s.array, object: s.object}
	if s.array {
		out.each = s.each.common(o.each)
	}
	if s.object {
		out.keys = map[string]*Shape{}
		for k, v := range s.keys {
			if both := v.common(o.keys[k]); both != nil {
				out.keys[k] = both
			}
		}
	}
	return out
}

// Check says what a document lacks of the shape, by its path; nil: nothing.
func (s *Shape) Check(v gjson.Result) error { return s.fits(v, "") }

func (s *Shape) fits(v gjson.Result, path string) error {
	at := func(key string) string {
		if path == "" {
			return key
		}
		return path + "." + key
	}
	switch {
	case s == nil || s.kind == gjson.Null:
		return nil
	case !v.Exists():
		return fmt.Errorf("%s: missing", path)
	case s.object && !v.IsObject(), s.array && !v.IsArray(), !s.alike(v.Type):
		return fmt.Errorf("%s: not of its type: %.40s", path, v.Raw)
	}
	if s.object {
		got := v.Map()
		for k, of := range s.keys {
			if err := of.fits(got[k], at(k)); err != nil {
				return err
			}
		}
	}
	if s.array && s.each != nil {
		for i, e := range v.Array() {
			if err := s.each.fits(e, at(fmt.Sprint(i))); err != nil {
				return err
			}
		}
	}
	return nil
}

// alike takes true and false for one type.
func (s *Shape) alike(t gjson.Type) bool {
	truth := func(t gjson.Type) bool { return t == gjson.True || t == gjson.False }
	return s.kind == t || truth(s.kind) && truth(t)
}

// CheckPositive says which deadline or number of attempts is no positive number; nil: none.
func CheckPositive(object gjson.Result) error {
	positive := func(v gjson.Result, path string) error {
		if v.Type != gjson.Number || !(v.Num > 0) {
			return fmt.Errorf("settings.%s: not a positive number: %.40s", path, v.Raw)
		}
		return nil
	}
	if err := positive(object.Get("limits.maxAttempts"), "limits.maxAttempts"); err != nil {
		return err
	}
	for i, p := range object.Get("profiles").Array() {
		for _, key := range []string{"giveUp", "onTime"} {
			if err := positive(p.Get(key), fmt.Sprintf("profiles.%d.%s", i, key)); err != nil {
				return err
			}
		}
	}
	return nil
}
