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

// problems collects the problems of a set of files.
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

// object reads one YAML mapping strictly: reportUnknownKeys reports all keys that
// were not looked up.
type object struct {
	problems *problems
	file     string
	path     string
	node     *yaml.Node
	vals     map[string]*yaml.Node
	keys     map[string]*yaml.Node
	used     map[string]bool
}

func newObject(ps *problems, file, path string, nd *yaml.Node) *object {
	ob := &object{
		problems: ps, file: file, path: path, node: nd,
		vals: map[string]*yaml.Node{}, keys: map[string]*yaml.Node{}, used: map[string]bool{},
	}
	if nd == nil || nd.Kind != yaml.MappingNode {
		ps.add(file, nd, path, "want a mapping")
		return ob
	}
	for ix := 0; ix+1 < len(nd.Content); ix += 2 {
		key := nd.Content[ix]
		if first, ok := ob.keys[key.Value]; ok {
			ps.add(file, key, ob.pathOf(key.Value), "duplicate key, first on line %d", first.Line)
			continue
		}
		ob.keys[key.Value] = key
		ob.vals[key.Value] = nd.Content[ix+1]
	}
	return ob
}

func (ob *object) pathOf(key string) string {
	if ob.path == "" {
		return key
	}
	return ob.path + "." + key
}

// lookup returns the value node of a key and marks the key as known.
func (ob *object) lookup(key string) (*yaml.Node, bool) {
	ob.used[key] = true
	nd, ok := ob.vals[key]
	return nd, ok
}

func (ob *object) addProblem(key, format string, args ...any) {
	nd := ob.vals[key]
	if nd == nil {
		nd = ob.node
	}
	ob.problems.add(ob.file, nd, ob.pathOf(key), format, args...)
}

// name reads a required name that matches namePattern.
func (ob *object) name(key string) string {
	nd, ok := ob.lookup(key)
	if !ok {
		ob.addProblem(key, "missing")
		return ""
	}
	if nd.Kind != yaml.ScalarNode || !namePattern.MatchString(nd.Value) {
		ob.addProblem(key, "want a name of lower-case letters, digits and hyphens, got %q", nd.Value)
		return ""
	}
	return nd.Value
}

// integer reads an integer between low and high, or def if the key is missing.
func (ob *object) integer(key string, def, low, high int) int {
	nd, ok := ob.lookup(key)
	if !ok {
		return def
	}
	val, err := strconv.Atoi(nd.Value)
	if err != nil || nd.Kind != yaml.ScalarNode {
		ob.addProblem(key, "want a whole number, got %q", nd.Value)
		return def
	}
	if val < low || val > high {
		ob.addProblem(key, "%d is out of range, want %d to %d", val, low, high)
		return def
	}
	return val
}

// boolean reads a boolean, or false if the key is missing.
func (ob *object) boolean(key string) bool {
	nd, ok := ob.lookup(key)
	if !ok {
		return false
	}
	val, err := strconv.ParseBool(nd.Value)
	if err != nil {
		ob.addProblem(key, "want true or false, got %q", nd.Value)
	}
	return val
}

// duration reads a duration with a unit, such as 250ms or 2s, between low and
// high, or def if the key is missing.
func (ob *object) duration(key string, def, low, high time.Duration) time.Duration {
	nd, ok := ob.lookup(key)
	if !ok {
		return def
	}
	val, err := time.ParseDuration(nd.Value)
	if err != nil {
		ob.addProblem(key, "want a duration with a unit such as 250ms or 2s, got %q", nd.Value)
		return def
	}
	if val < low || val > high {
		ob.addProblem(key, "%s is out of range, want %s to %s", val, low, high)
		return def
	}
	return val
}

var memoryUnits = []struct {
	suffix string
	mib    int
}{{"MiB", 1}, {"GiB", 1024}, {"TiB", 1024 * 1024}}

// memory reads a required size with a unit and returns it in MiB.
func (ob *object) memory(key string) int {
	nd, ok := ob.lookup(key)
	if !ok {
		ob.addProblem(key, "missing")
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
	ob.addProblem(key, "want a size with the unit MiB, GiB or TiB, got %q", nd.Value)
	return 0
}

// mappingList reads a list of mappings, or nil if the key is missing.
func (ob *object) mappingList(key string) []*object {
	nd, ok := ob.lookup(key)
	if !ok {
		return nil
	}
	if nd.Kind != yaml.SequenceNode {
		ob.addProblem(key, "want a list")
		return nil
	}
	list := make([]*object, 0, len(nd.Content))
	for ix, item := range nd.Content {
		list = append(list, newObject(ob.problems, ob.file, fmt.Sprintf("%s[%d]", ob.pathOf(key), ix), item))
	}
	return list
}

// mapping reads a mapping, or nil if the key is missing.
func (ob *object) mapping(key string) *object {
	nd, ok := ob.lookup(key)
	if !ok {
		return nil
	}
	return newObject(ob.problems, ob.file, ob.pathOf(key), nd)
}

// reportUnknownKeys reports each key that was not looked up as a problem.
func (ob *object) reportUnknownKeys() {
	unknown := make([]string, 0)
	for key := range ob.keys {
		if !ob.used[key] {
			unknown = append(unknown, key)
		}
	}
	sort.Strings(unknown)
	for _, key := range unknown {
		ob.problems.add(ob.file, ob.keys[key], ob.pathOf(key), "unknown key")
	}
}
