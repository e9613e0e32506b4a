// Package file loads the fleet configuration from one base file and one overlay
// per site. Parsing is strict, and all problems are reported together, each with
// file, line and path.
//
// Usage:
//
//	cfg, err := file.Load("base.yaml", []string{"shyambazar.yaml"})
//	var er *file.Error
//	errors.As(err, &er) // er.Problems
package file

import (
	"bytes"
	_ "embed" // embeds the annotated samples of "config init" and the schema
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"greengageweir/internal/config/model"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"

	weir "greengageweir"
)

// Schema is the JSON Schema of base files and overlays.
//
//go:embed schema.json
var Schema string

// SampleBase is the annotated base file that "config init" writes.
//
//go:embed sample_base.yaml
var SampleBase string

// SampleOverlay is the annotated overlay that "config init" writes.
//
//go:embed sample_overlay.yaml
var SampleOverlay string

// Kind classifies the errors of this package.
type Kind string

// KindInvalid means that the files contain problems.
const KindInvalid Kind = "configuration is not valid"

// Error lists all problems of a configuration.
type Error struct {
	Op       string
	Kind     Kind
	Problems []model.Problem
}

// Error implements error with one line for each problem.
func (er *Error) Error() string {
	lines := []string{fmt.Sprintf("%s: %s: %d problems", er.Op, er.Kind, len(er.Problems))}
	for _, pr := range er.Problems {
		lines = append(lines, fmt.Sprintf("%s:%d: %s: %s", pr.File, pr.Line, pr.Path, pr.Message))
	}
	return strings.Join(lines, "\n")
}

const (
	defaultSlots       = 8
	defaultConnections = 64
	defaultQueue       = 64
	defaultTimeout     = 2 * time.Second
	defaultShare       = 10
	maxCount           = 1_000_000
	maxTimeout         = 10 * time.Minute
)

// loader merges the base file and the overlays into one configuration.
type loader struct {
	problems problems
	cfg      model.Config
	// declaredAt maps the kind and name of an item to the file and line of its
	// declaration.
	declaredAt map[string]string
	// budgetObjects maps a pool to its YAML object, which locates problems with
	// its availability budget.
	budgetObjects map[weir.PoolName]*object
}

// Load reads and validates a base file and its overlays. It sorts overlays in
// place. Problems are returned as an *Error.
func Load(base string, overlays []string) (model.Config, error) {
	ld := &loader{declaredAt: map[string]string{}, budgetObjects: map[weir.PoolName]*object{}}
	ld.cfg = model.Config{
		Sites: map[weir.Zone]model.Site{}, Services: map[weir.ServiceName]model.Service{},
		Pools: map[weir.PoolName]model.Pool{}, Teams: map[weir.TeamName]model.Team{},
		Instances: map[weir.InstanceID]model.Instance{},
	}
	ob := ld.open(base)
	if ob == nil {
		return model.Config{}, &Error{Op: "load " + base, Kind: KindInvalid, Problems: ld.problems.list}
	}
	ld.readBase(ob)
	sort.Strings(overlays)
	for _, path := range overlays {
		if ob := ld.open(path); ob != nil {
			ld.readOverlay(ob)
		}
	}
	ld.checkBudgets()
	if len(ld.problems.list) > 0 {
		return model.Config{}, &Error{Op: "load " + base, Kind: KindInvalid, Problems: ld.problems.list}
	}
	return ld.cfg, nil
}

// LoadFolder loads base.yaml and overlays/*.yaml from a folder.
func LoadFolder(dir string) (model.Config, error) {
	overlays, err := filepath.Glob(filepath.Join(dir, "overlays", "*.yaml"))
	if err != nil {
		return model.Config{}, err
	}
	return Load(filepath.Join(dir, "base.yaml"), overlays)
}

func (ld *loader) open(path string) *object {
	body, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		ld.problems.add(path, nil, "", "cannot read: %v", err)
		return nil
	}
	var doc, second yaml.Node
	dec := yaml.NewDecoder(bytes.NewReader(body))
	err = dec.Decode(&doc)
	if errors.Is(err, io.EOF) || (err == nil && len(doc.Content) == 0) {
		ld.problems.add(path, nil, "", "file is empty")
		return nil
	}
	if err != nil {
		ld.problems.add(path, &yaml.Node{Line: yamlLine(err)}, "", "not YAML: %v", err)
		return nil
	}
	switch err := dec.Decode(&second); {
	case err == nil:
		ld.problems.add(path, &second, "", "more than one document")
		return nil
	case !errors.Is(err, io.EOF):
		ld.problems.add(path, &yaml.Node{Line: yamlLine(err)}, "", "not YAML: %v", err)
		return nil
	}
	return newObject(&ld.problems, path, "", doc.Content[0])
}

func yamlLine(err error) int {
	line := 0
	_, _ = fmt.Sscanf(err.Error(), "yaml: line %d:", &line)
	return line
}

// declareOnce records the declaration of an item. It returns false if the name is
// empty, or if the item was declared before, which it reports as a problem.
func (ld *loader) declareOnce(ob *object, what, name string) bool {
	if name == "" {
		return false
	}
	key := what + " " + name
	place := fmt.Sprintf("%s:%d", ob.file, ob.node.Line)
	if first, ok := ld.declaredAt[key]; ok {
		ob.addProblem("name", "%s is declared twice, first at %s", key, first)
		return false
	}
	ld.declaredAt[key] = place
	return true
}

func (ld *loader) readBase(ob *object) {
	ld.cfg.Name = ob.name("name")
	ld.readLimits(ob.mapping("limits"))
	for _, it := range ob.mappingList("sites") {
		name := it.name("name")
		if ld.declareOnce(it, "site", name) {
			ld.cfg.Sites[weir.Zone(name)] = model.Site{Name: weir.Zone(name)}
		}
		it.reportUnknownKeys()
	}
	for _, it := range ob.mappingList("teams") {
		team := model.Team{Name: weir.TeamName(it.name("name")), QuotaSlots: it.integer("quotaSlots", defaultSlots, 1, maxCount)}
		if ld.declareOnce(it, "team", string(team.Name)) {
			ld.cfg.Teams[team.Name] = team
		}
		it.reportUnknownKeys()
	}
	for _, it := range ob.mappingList("services") {
		svc := readService(it, model.Service{QueueLength: defaultQueue, Timeout: model.Duration(defaultTimeout), DeferrableShare: defaultShare})
		if ld.declareOnce(it, "service", string(svc.Name)) {
			ld.cfg.Services[svc.Name] = svc
		}
		it.reportUnknownKeys()
	}
	for _, it := range ob.mappingList("pools") {
		ld.readPool(it)
	}
	ob.reportUnknownKeys()
}

func (ld *loader) readLimits(ob *object) {
	ld.cfg.Limits = model.Limits{SlotsPerInstance: defaultSlots, ConnectionsPerInstance: defaultConnections}
	if ob == nil {
		return
	}
	ld.cfg.Limits.SlotsPerInstance = ob.integer("slotsPerInstance", defaultSlots, 1, 1024)
	ld.cfg.Limits.ConnectionsPerInstance = ob.integer("connectionsPerInstance", defaultConnections, 1, 65536)
	if ld.cfg.Limits.ConnectionsPerInstance < ld.cfg.Limits.SlotsPerInstance {
		ob.addProblem("connectionsPerInstance", "fewer connections than slots")
	}
	ob.reportUnknownKeys()
}

// readService reads a service; missing keys keep the values of def.
func readService(ob *object, def model.Service) model.Service {
	def.Name = weir.ServiceName(ob.name("name"))
	def.QueueLength = ob.integer("queueLength", def.QueueLength, 0, maxCount)
	def.Timeout = model.Duration(ob.duration("timeout", time.Duration(def.Timeout), time.Millisecond, maxTimeout))
	def.DeferrableShare = ob.integer("deferrableShare", def.DeferrableShare, 0, 100)
	return def
}

func (ld *loader) readPool(ob *object) {
	pol := model.Pool{
		Name:         weir.PoolName(ob.name("name")),
		Service:      weir.ServiceName(ob.name("service")),
		MinAvailable: ob.integer("minAvailable", 0, 0, maxCount),
		Spare:        ob.boolean("spare"),
	}
	ob.reportUnknownKeys()
	if !ld.declareOnce(ob, "pool", string(pol.Name)) {
		return
	}
	if _, ok := ld.cfg.Services[pol.Service]; !ok && pol.Service != "" {
		ob.addProblem("service", "no service is named %s", pol.Service)
	}
	ld.cfg.Pools[pol.Name] = pol
	ld.budgetObjects[pol.Name] = ob
}

func (ld *loader) readOverlay(ob *object) {
	site := weir.Zone(ob.name("site"))
	st, known := ld.cfg.Sites[site]
	if !known && site != "" {
		ob.addProblem("site", "overlay for an unknown site %s", site)
	}
	if first, ok := ld.declaredAt["overlay "+string(site)]; ok {
		ob.addProblem("site", "second overlay for %s, first in %s", site, first)
	}
	ld.declaredAt["overlay "+string(site)] = ob.file
	for _, it := range ob.mappingList("services") {
		name := weir.ServiceName(it.name("name"))
		base, ok := ld.cfg.Services[name]
		if !ok {
			it.addProblem("name", "no service is named %s", name)
		}
		if st.Services == nil {
			st.Services = map[weir.ServiceName]model.Service{}
		}
		st.Services[name] = readService(it, base)
		it.reportUnknownKeys()
	}
	for _, it := range ob.mappingList("instances") {
		ld.readInstance(it, site)
	}
	ob.reportUnknownKeys()
	if known {
		ld.cfg.Sites[site] = st
	}
}

func (ld *loader) readInstance(ob *object, site weir.Zone) {
	inst := model.Instance{
		Name:         weir.InstanceID(ob.name("name")),
		Zone:         site,
		Rack:         ob.name("rack"),
		Pool:         weir.PoolName(ob.name("pool")),
		Cores:        ob.integer("cores", 1, 1, 4096),
		MemoryMiB:    ob.memory("memory"),
		Accelerators: ob.integer("accelerators", 0, 0, 1024),
	}
	ob.reportUnknownKeys()
	if _, ok := ld.cfg.Pools[inst.Pool]; !ok && inst.Pool != "" {
		ob.addProblem("pool", "no pool is named %s", inst.Pool)
	}
	if old, ok := ld.cfg.Instances[inst.Name]; ok && old.Pool != inst.Pool {
		ob.addProblem("pool", "instance %s is in two pools, %s (%s) and %s", inst.Name, old.Pool, ld.declaredAt["instance "+string(inst.Name)], inst.Pool)
		return
	}
	if ld.declareOnce(ob, "instance", string(inst.Name)) {
		ld.cfg.Instances[inst.Name] = inst
	}
}

// checkBudgets checks that no availability budget exceeds the number of instances
// that the overlays declare in its pool.
func (ld *loader) checkBudgets() {
	if len(ld.problems.list) > 0 {
		return
	}
	sizes := map[weir.PoolName]int{}
	for _, inst := range ld.cfg.Instances {
		sizes[inst.Pool]++
	}
	names := make([]string, 0, len(ld.budgetObjects))
	for name := range ld.budgetObjects {
		names = append(names, string(name))
	}
	sort.Strings(names)
	for _, name := range names {
		pol := ld.cfg.Pools[weir.PoolName(name)]
		if pol.MinAvailable > sizes[pol.Name] {
			ld.budgetObjects[pol.Name].addProblem("minAvailable", "budget of %d is larger than the pool of %d", pol.MinAvailable, sizes[pol.Name])
		}
	}
}
