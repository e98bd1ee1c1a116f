package scenario

import (
	"cmp"
	"fmt"
	"io"
	"reflect"
	"slices"

	"coralhub/internal/core/msg"
)

// effectNumbers are the numbers by which digests identify the types of effects. Names of types and
// fields aren't part of a digest, nor are log messages: renaming them in the code changes no digest.
var effectNumbers = map[reflect.Type]int{}

func init() {
	for i, e := range []msg.Effect{msg.Commit{}, msg.Read{}, msg.GrantLease{}, msg.RenewLease{}, msg.ReleaseLease{},
		msg.PollWatchFast{}, msg.Relist{}, msg.Respond{}, msg.Command{}, msg.FetchCatalog{}, msg.ListMachines{},
		msg.ScaleOut{}, msg.ScaleIn{}, msg.SendPeerUpdate{}, msg.Forward{}, msg.HeartbeatBatch{}, msg.StopServing{}} {
		effectNumbers[reflect.TypeOf(e)] = i + 1
	}
}

// digestEffect writes the time, the node, the type and the fields of an effect. It omits log messages.
func digestEffect(w io.Writer, at int64, node string, e msg.Effect) {
	if _, ok := e.(msg.Log); ok {
		return
	}
	number := effectNumbers[reflect.TypeOf(e)]
	if number == 0 {
		panic(fmt.Sprintf("effect type %T is missing from effectNumbers", e))
	}
	fmt.Fprintf(w, "%d %s %d ", at, node, number)
	digestValue(w, reflect.ValueOf(e))
	fmt.Fprintln(w)
}

// digestValue writes the exported fields of a value recursively, without the names of types and fields.
func digestValue(w io.Writer, v reflect.Value) {
	switch v.Kind() {
	case reflect.Invalid:
		fmt.Fprint(w, "nil ")
	case reflect.Pointer, reflect.Interface:
		digestValue(w, v.Elem())
	case reflect.Struct:
		fmt.Fprint(w, "{ ")
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				digestValue(w, v.Field(i))
			}
		}
		fmt.Fprint(w, "} ")
	case reflect.Slice, reflect.Array:
		fmt.Fprintf(w, "[%d ", v.Len())
		for i := range v.Len() {
			digestValue(w, v.Index(i))
		}
		fmt.Fprint(w, "] ")
	case reflect.Map:
		keys := v.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return cmp.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
		fmt.Fprintf(w, "map %d ", len(keys))
		for _, k := range keys {
			digestValue(w, k)
			digestValue(w, v.MapIndex(k))
		}
	default:
		fmt.Fprintf(w, "%q ", fmt.Sprint(v))
	}
}
