package file

import (
	"fmt"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"greengageweir/internal/config/model"

	"gopkg.in/yaml.v3"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// problems collects everything that is wrong in a set of files.
type problems struct {
	list []model.Problem
}

func (ps *problems) add(file string, nd *yaml.Node, path, format string, args ...any) {
	line := 0
	if nd != nil {
		line = nd.Line
	}
	ps.list = append(ps.list, model.Problem{File: file, Line: line, Path: path, Message: fmt.Sprintf(format, args...)})
}

// object reads one YAML mapping strictly: finish reports the keys that nobody
// asked for.
type object struct {
	ps   *problems
	file string
	path string
	node *yaml.Node
	vals map[string]*yaml.Node
	keys map[string]*yaml.Node
	used map[string]bool
}

func newObject(ps *problems, file, path string, nd *yaml.Node) *object {
	ob := &object{
		ps: ps, file: file, path: path, node: nd,
		vals: map[string]*yaml.Node{}, keys: map[string]*yaml.Node{}, used: map[string]bool{},
	}
	if nd == nil || nd.Kind != yaml.MappingNode {
		ps.add(file, nd, path, "want a mapping")
		return ob
	}
	for ix := 0; ix+1 < len(nd.Content); ix += 2 {
		key := nd.Content[ix]
		if first, ok := ob.keys[key.Value]; ok {
			ps.add(file, key, ob.at(key.Value), "duplicate key, first on line %d", first.Line)
			continue
		}
		ob.keys[key.Value] = key
		ob.vals[key.Value] = nd.Content[ix+1]
	}
	return ob
}

func (ob *object) at(key string) string {
	if ob.path == "" {
		return key
	}
	return ob.path + "." + key
}

// take returns the node of a key and marks the key as known.
func (ob *object) take(key string) (*yaml.Node, bool) {
	ob.used[key] = true
	nd, ok := ob.vals[key]
	return nd, ok
}

func (ob *object) fail(key, format string, args ...any) {
	nd := ob.vals[key]
	if nd == nil {
		nd = ob.node
	}
	ob.ps.add(ob.file, nd, ob.at(key), format, args...)
}

// name reads a required name.
func (ob *object) name(key string) string {
	nd, ok := ob.take(key)
	if !ok {
		ob.fail(key, "missing")
		return ""
	}
	if nd.Kind != yaml.ScalarNode || !namePattern.MatchString(nd.Value) {
		ob.fail(key, "want a name of lower-case letters, digits and hyphens, got %q", nd.Value)
		return ""
	}
	return nd.Value
}

// integer reads a whole number between low and high; a missing key gives def.
func (ob *object) integer(key string, def, low, high int) int {
	nd, ok := ob.take(key)
	if !ok {
		return def
	}
	val, err := strconv.Atoi(nd.Value)
	if err != nil || nd.Kind != yaml.ScalarNode {
		ob.fail(key, "want a whole number, got %q", nd.Value)
		return def
	}
	if val < low || val > high {
		ob.fail(key, "%d is out of range, want %d to %d", val, low, high)
		return def
	}
	return val
}

// boolean reads true or false; a missing key gives false.
func (ob *object) boolean(key string) bool {
	nd, ok := ob.take(key)
	if !ok {
		return false
	}
	val, err := strconv.ParseBool(nd.Value)
	if err != nil {
		ob.fail(key, "want true or false, got %q", nd.Value)
	}
	return val
}

// duration reads a time with a unit, such as 250ms or 2s.
func (ob *object) duration(key string, def, low, high time.Duration) time.Duration {
	nd, ok := ob.take(key)
	if !ok {
		return def
	}
	val, err := time.ParseDuration(nd.Value)
	if err != nil {
		ob.fail(key, "want a duration with a unit such as 250ms or 2s, got %q", nd.Value)
		return def
	}
	if val < low || val > high {
		ob.fail(key, "%s is out of range, want %s to %s", val, low, high)
		return def
	}
	return val
}

var memoryUnits = []struct {
	suffix string
	mib    int
}{{"MiB", 1}, {"GiB", 1024}, {"TiB", 1024 * 1024}}

// memory reads a size with a unit and returns MiB.
func (ob *object) memory(key string) int {
	nd, ok := ob.take(key)
	if !ok {
		ob.fail(key, "missing")
		return 0
	}
	for _, unit := range memoryUnits {
		digits, found := strings.CutSuffix(nd.Value, unit.suffix)
		if !found {
			continue
		}
		if val, err := strconv.Atoi(strings.TrimSpace(digits)); err == nil && val > 0 {
			return val * unit.mib
		}
	}
	ob.fail(key, "want a size with the unit MiB, GiB or TiB, got %q", nd.Value)
	return 0
}

// objects reads a list of mappings.
func (ob *object) objects(key string) []*object {
	nd, ok := ob.take(key)
	if !ok {
		return nil
	}
	if nd.Kind != yaml.SequenceNode {
		ob.fail(key, "want a list")
		return nil
	}
	list := make([]*object, 0, len(nd.Content))
	for ix, item := range nd.Content {
		list = append(list, newObject(ob.ps, ob.file, fmt.Sprintf("%s[%d]", ob.at(key), ix), item))
	}
	return list
}

// child reads a mapping; it returns nil where the key is missing.
func (ob *object) child(key string) *object {
	nd, ok := ob.take(key)
	if !ok {
		return nil
	}
	return newObject(ob.ps, ob.file, ob.at(key), nd)
}

// finish reports keys that are not known here.
func (ob *object) finish() {
	unknown := make([]string, 0)
	for key := range ob.keys {
		if !ob.used[key] {
			unknown = append(unknown, key)
		}
	}
	sort.Strings(unknown)
	for _, key := range unknown {
		ob.ps.add(ob.file, ob.keys[key], ob.at(key), "unknown key")
	}
}
