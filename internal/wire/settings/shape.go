package settings

import (
	"fmt"
	"slices"

	"github.com/tidwall/gjson"
)

// Shape holds the keys and types of a document that was accepted, without its values. A new document is
// checked against it, because one that has lost a key can still be decoded, with the key's zero value.
type Shape struct {
	kind    gjson.Type
	array   bool
	object  bool
	keys    map[string]*Shape // keys of an object
	element *Shape            // shape common to all elements of an array; nil if it is empty or they have none in common
}

// ShapeOf returns the shape of a document. The top-level keys named in optional may be missing in documents
// that are checked against it.
func ShapeOf(v gjson.Result, optional ...string) *Shape {
	s := &Shape{kind: v.Type, array: v.IsArray(), object: v.IsObject()}
	switch {
	case s.object:
		s.keys = map[string]*Shape{}
		v.ForEach(func(k, v gjson.Result) bool {
			if !slices.Contains(optional, k.Str) && !slices.Contains(optionalKeys, k.Str) {
				s.keys[k.Str] = ShapeOf(v)
			}
			return true
		})
	case s.array:
		for i, e := range v.Array() {
			if shape := ShapeOf(e); i == 0 {
				s.element = shape
			} else {
				s.element = s.element.intersect(shape)
			}
		}
	}
	return s
}

// optionalKeys lists the keys that the protocol allows to be missing, in objects at any depth.
var optionalKeys = []string{"aimStretch", "droppedStayOpen", "tenants"}

// intersect returns the shape that two shapes have in common, or nil if they are of different types.
func (s *Shape) intersect(o *Shape) *Shape {
	if s == nil || o == nil || s.kind != o.kind || s.array != o.array || s.object != o.object {
		return nil
	}
	out := &Shape{kind: s.kind, array: s.array, object: s.object}
	if s.array {
		out.element = s.element.intersect(o.element)
	}
	if s.object {
		out.keys = map[string]*Shape{}
		for k, v := range s.keys {
			if both := v.intersect(o.keys[k]); both != nil {
				out.keys[k] = both
			}
		}
	}
	return out
}

// Check returns an error with the path of the first part of the shape that a document lacks or has with
// another type, or nil if there is none.
func (s *Shape) Check(v gjson.Result) error { return s.check(v, "") }

func (s *Shape) check(v gjson.Result, path string) error {
	pathOf := func(key string) string {
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
	case s.object && !v.IsObject(), s.array && !v.IsArray(), !s.sameType(v.Type):
		return fmt.Errorf("%s: wrong type: %.40s", path, v.Raw)
	}
	if s.object {
		got := v.Map()
		for k, shape := range s.keys {
			if err := shape.check(got[k], pathOf(k)); err != nil {
				return err
			}
		}
	}
	if s.array && s.element != nil {
		for i, e := range v.Array() {
			if err := s.element.check(e, pathOf(fmt.Sprint(i))); err != nil {
				return err
			}
		}
	}
	return nil
}

// sameType reports whether a value of type t fits the shape. True and false are one type.
func (s *Shape) sameType(t gjson.Type) bool {
	isBool := func(t gjson.Type) bool { return t == gjson.True || t == gjson.False }
	return s.kind == t || isBool(s.kind) && isBool(t)
}

// CheckPositive returns an error that names the first deadline, latency target or number of attempts that is not a
// positive number, or nil if all are.
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
