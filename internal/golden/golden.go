// Package golden compares the output of tests with recorded files. It is for output that other versions,
// other programs or people rely on: stored values, messages, field names.
package golden

import (
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// Check compares got with the file testdata/NAME of the test's package. If the file does not exist, Check
// records it and fails the test, so that the recording is reviewed before it is committed.
func Check(tb testing.TB, name, got string) {
	tb.Helper()
	path := filepath.Join("testdata", name)
	want, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		if err := os.MkdirAll(filepath.Dir(path), 0o750); err != nil {
			tb.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			tb.Fatal(err)
		}
		tb.Errorf("%s did not exist and was recorded: review it before committing it", path)
		return
	}
	if err != nil {
		tb.Fatal(err)
	}
	if got != string(want) {
		tb.Errorf("%s differs\n got: %s\nwant: %s", path, got, want)
	}
}

// Bytes returns the bytes that CheckBytes recorded in a file.
func Bytes(tb testing.TB, name string) []byte {
	tb.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		tb.Fatal(err)
	}
	raw, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		tb.Fatal(err)
	}
	return raw
}

// CheckBytes compares got with a recorded file of hexadecimal text, like Check.
func CheckBytes(tb testing.TB, name string, got []byte) {
	tb.Helper()
	Check(tb, name, hex.EncodeToString(got)+"\n")
}

// Names describes types as an encoder that uses the struct tag key encodes them: the encoded name, the
// kind and the tag options of each field, and recursively those of the fields' types. A field without a
// tag has its Go name.
func Names(key string, types ...any) string {
	var out strings.Builder
	for i, v := range types {
		fmt.Fprintf(&out, "%d\n", i)
		describe(&out, key, reflect.TypeOf(v), "  ", nil)
	}
	return out.String()
}

func describe(out *strings.Builder, key string, t reflect.Type, indent string, outer []reflect.Type) {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		describe(out, key, t.Elem(), indent, outer)
		return
	case reflect.Struct:
	default:
		return
	}
	for _, o := range outer {
		if o == t {
			fmt.Fprintf(out, "%s(as above)\n", indent)
			return
		}
	}
	for i := range t.NumField() {
		f := t.Field(i)
		tag, tagged := f.Tag.Lookup(key)
		if tag == "-" || !f.IsExported() && !f.Anonymous {
			continue
		}
		if f.Anonymous && !tagged {
			describe(out, key, f.Type, indent, append(outer, t))
			continue
		}
		name, options, _ := strings.Cut(tag, ",")
		if name == "" {
			name = f.Name
		}
		fmt.Fprintf(out, "%s%s %s %s\n", indent, name, kind(f.Type), options)
		describe(out, key, f.Type, indent+"  ", append(outer, t))
	}
}

func kind(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		return t.Kind().String() + " of " + kind(t.Elem())
	case reflect.Map:
		return "map of " + kind(t.Elem())
	}
	return t.Kind().String()
}
