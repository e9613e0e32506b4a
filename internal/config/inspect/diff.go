package inspect

import (
	"fmt"
	"reflect"

	"greengageweir/internal/common/auth"
	"greengageweir/internal/config/catalog"
	"greengageweir/internal/contract/jobhttp"
	"greengageweir/internal/job/spec"
)

// Diff returns the differences that a configuration makes to the one in force. Without
// keysKnown the keys of the latter are missing and are not compared. Paths are places in
// the new document.
func Diff(inForce, next jobhttp.Catalog, keysKnown bool) []Finding {
	rp := &report{}
	diffEntries(rp, "queue", inForce.Queues, next.Queues, func(qu jobhttp.Queue) string { return qu.Name }, diffQueue)
	diffEntries(rp, "pool", inForce.Pools, next.Pools, func(po catalog.Pool) string { return string(po.Name) }, nil)
	switch {
	case inForce.Teams == nil && next.Teams != nil:
		rp.warn("teams", "added: calls to queues that are not public need a key from now on")
	case inForce.Teams != nil && next.Teams == nil:
		rp.warn("teams", "removed: calls need no key any more")
	}
	diffEntries(rp, "team", inForce.Teams, next.Teams, func(tm jobhttp.Team) string { return string(tm.Name) },
		func(rp *report, path string, from, to jobhttp.Team) {
			diffCap(rp, path, from, to)
			if keysKnown {
				diffKeys(rp, path, from, to)
			}
		})
	changes := len(rp.list)
	if !keysKnown && (inForce.Teams != nil || next.Teams != nil) {
		rp.add(SeverityNote, "teams", "keys are not compared: the configuration in force is read without them")
	}
	switch {
	case next.Version > inForce.Version:
		rp.add(SeverityChange, "version", "%d -> %d", inForce.Version, next.Version)
	case changes > 0:
		rp.fail("version", "%d is not higher than %d: it would be acknowledged and change nothing", next.Version, inForce.Version)
	default:
		rp.add(SeverityNote, "version", "%d is not higher than %d: it would be acknowledged and change nothing", next.Version, inForce.Version)
	}
	return rp.list
}

// diffEntries compares two lists of entries by name. more, if any, adds to what the
// fields show of an entry in both lists.
func diffEntries[T any](rp *report, kind string, inForce, next []T, name func(entry T) string, more func(rp *report, path string, from, to T)) {
	before, after := map[string]T{}, map[string]bool{}
	for _, entry := range inForce {
		before[name(entry)] = entry
	}
	for ix, entry := range next {
		path := fmt.Sprintf("%ss[%d]", kind, ix)
		from, ok := before[name(entry)]
		after[name(entry)] = true
		if !ok {
			rp.add(SeverityChange, path, "%s %q added", kind, name(entry))
			continue
		}
		diffFields(rp, path, fmt.Sprintf("%s %q", kind, name(entry)), reflect.ValueOf(from), reflect.ValueOf(entry))
		if more != nil {
			more(rp, path, from, entry)
		}
	}
	for _, entry := range inForce {
		if after[name(entry)] {
			continue
		}
		switch kind {
		case "queue":
			rp.warn("queues", "queue %q removed: its accepted jobs start no further tasks", name(entry))
		case "team":
			rp.add(SeverityChange, "teams", "team %q removed: its accepted jobs continue, without a cap", name(entry))
		default:
			rp.add(SeverityChange, kind+"s", "%s %q removed", kind, name(entry))
		}
	}
}

// diffFields adds each field that differs, with its values. It leaves out keys.
func diffFields(rp *report, path, entry string, from, to reflect.Value) {
	fields, names := fieldsOf(from.Type())
	for ix, field := range fields {
		if field.Type == reflect.TypeFor[[]auth.Key]() {
			continue
		}
		old, val, inner := from.FieldByIndex(field.Index), to.FieldByIndex(field.Index), path+"."+names[ix]
		if field.Type.Kind() == reflect.Pointer && !old.IsNil() && !val.IsNil() {
			old, val = old.Elem(), val.Elem()
		}
		switch {
		case reflect.DeepEqual(old.Interface(), val.Interface()):
		case old.Kind() == reflect.Struct:
			diffFields(rp, inner, entry, old, val)
		default:
			rp.add(SeverityChange, inner, "%s: %s -> %s", entry, format(old), format(val))
		}
	}
}

// format returns a field's value.
func format(val reflect.Value) string {
	switch {
	case val.Kind() == reflect.String:
		return fmt.Sprintf("%q", val.String())
	case val.Kind() != reflect.Pointer:
		return fmt.Sprint(val.Interface())
	case val.IsNil():
		return "none"
	}
	return fmt.Sprintf("%+v", val.Elem().Interface())
}

func diffQueue(rp *report, path string, from, to jobhttp.Queue) {
	if max(to.MaxAttempts, 1) < max(from.MaxAttempts, 1) {
		rp.warn(path+".maxAttempts", "lowered: jobs with a task that has failed as often fail at once")
	}
}

func diffCap(rp *report, path string, from, to jobhttp.Team) {
	for _, cr := range catalog.CapResources {
		old, limit := cr.Of(spec.Resources(from.Cap)), cr.Of(spec.Resources(to.Cap))
		if limit > 0 && (old == 0 || limit < old) {
			rp.warn(path+".cap."+cr.Name, "lowered: running tasks continue, none starts while the team uses more than %d", limit)
		}
	}
}

// diffKeys counts the keys that are added and removed.
func diffKeys(rp *report, path string, from, to jobhttp.Team) {
	before, after := map[auth.Key]bool{}, map[auth.Key]bool{}
	for _, key := range from.Keys {
		before[key] = true
	}
	added, removed := 0, 0
	for _, key := range to.Keys {
		if !before[key] && !after[key] {
			added++
		}
		after[key] = true
	}
	for key := range before {
		if !after[key] {
			removed++
		}
	}
	if added > 0 || removed > 0 {
		rp.add(SeverityChange, path+".keys", "team %q: %d added, %d removed", to.Name, added, removed)
	}
}
