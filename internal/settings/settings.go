// Package settings reads the settings of each role (gate, agent, platform and
// runner) from the section of an INI file that has the role's name. The struct
// tags of the settings give the key (ini), the default value (default), whether
// the key may be absent (optional) and the explanation that users see (help).
package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

type (
	// Address is an IP address and a port, such as 10.0.0.5:7100.
	Address string

	// File is the path of a file.
	File string

	// URL is the base URL of an HTTP service, without a trailing slash.
	URL string

	// Gate holds the settings of a gate, the process on an entry VM.
	Gate struct {
		Listen            Address            `ini:"listen" help:"address for callers and operators"`
		Peer              Address            `ini:"peer" help:"address for the system's own processes"`
		Region            floor.RegionID     `ini:"region" help:"region that this gate serves"`
		Platform          URL                `ini:"platform" help:"base URL of the table service and object store"`
		Gates             []Address          `ini:"gates" help:"peer addresses of all gates of the region"`
		Drain             time.Duration      `ini:"drain" default:"30s" help:"longest time of a graceful shutdown"`
		BalancerNotice    time.Duration      `ini:"notice" default:"5s" help:"time in which the balancer notices that the gate shuts down"`
		DataCentre        floor.DataCentreID `ini:"datacentre" help:"data centre of this VM"`
		Certificate       File               `ini:"certificate" optional:"yes" help:"PEM file of this process's certificate"`
		Key               File               `ini:"key" optional:"yes" help:"PEM file of the certificate's key"`
		Authority         File               `ini:"authority" optional:"yes" help:"PEM file of the authorities that sign the processes' certificates"`
		PublicCertificate File               `ini:"public-certificate" optional:"yes" help:"PEM file of the certificate for callers and operators"`
		PublicKey         File               `ini:"public-key" optional:"yes" help:"PEM file of that certificate's key"`
		Operators         Operators          `ini:"operators" optional:"yes" help:"names of operators, each with a colon and the SHA-256 sum of its token"`
	}

	// Agent holds the settings of an agent, the process beside an upstream.
	Agent struct {
		Listen       Address            `ini:"listen" optional:"yes" help:"address for Prometheus; none if absent"`
		Peer         Address            `ini:"peer" help:"address for the system's own processes"`
		Region       floor.RegionID     `ini:"region" help:"region of the worker"`
		DataCentre   floor.DataCentreID `ini:"datacentre" help:"data centre of the worker"`
		Rack         floor.RackID       `ini:"rack" help:"rack of the worker"`
		Worker       floor.WorkerID     `ini:"worker" help:"name of the worker, unique in its region"`
		Accelerators int                `ini:"accelerators" help:"number of accelerators"`
		Cores        int                `ini:"cores" help:"number of cores"`
		Memory       floor.MiB          `ini:"memory" help:"memory, such as 64GiB"`
		Slots        int                `ini:"slots" default:"8" help:"tasks at a time"`
		Cooling      floor.Watts        `ini:"cooling" default:"0" help:"cooling that a busy worker draws, in watts"`
		Gates        []Address          `ini:"gates" help:"peer addresses of the gates"`
		Upstream     URL                `ini:"upstream" help:"base URL of the runner"`
		Platform     URL                `ini:"platform" help:"base URL of the table service and object store"`
		Drain        time.Duration      `ini:"drain" default:"5m" help:"longest time of a graceful shutdown"`
		Certificate  File               `ini:"certificate" optional:"yes" help:"PEM file of this process's certificate"`
		Key          File               `ini:"key" optional:"yes" help:"PEM file of the certificate's key"`
		Authority    File               `ini:"authority" optional:"yes" help:"PEM file of the authorities that sign the processes' certificates"`
	}

	// Platform holds the settings of the in-memory fake of the platform's table
	// service and object store.
	Platform struct {
		Listen Address `ini:"listen" help:"address of the stand-in"`
	}

	// Runner holds the settings of the fake runner.
	Runner struct {
		Listen Address `ini:"listen" help:"address of the stand-in"`
	}

	// validator is implemented by settings with rules that span several keys.
	// validate returns a SettingError without file and section if a rule is broken.
	validator interface {
		validate() *SettingError
	}

	// SettingError reports the file, section and key of an invalid setting, with the
	// reason. Section and Key are empty if the reason concerns the whole file or
	// section.
	SettingError struct {
		File    string
		Section string
		Key     string
		Reason  string
	}
)

func (e *SettingError) Error() string {
	return fmt.Sprintf("%s: section [%s], key %s: %s", e.File, e.Section, e.Key, e.Reason)
}

// Nodes converts peer addresses to the nodes of package machine.
func Nodes(addresses []Address) []machine.Node {
	nodes := make([]machine.Node, 0, len(addresses))
	for _, a := range addresses {
		nodes = append(nodes, machine.Node(a))
	}
	return nodes
}

// Sections returns the names of the sections of a file, one for each role. It
// returns a SettingError if the file cannot be read.
func Sections(path string) ([]string, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, &SettingError{File: path, Section: "", Key: "", Reason: err.Error()}
	}
	var names []string
	for _, section := range file.Sections() {
		if section.Name() != ini.DefaultSection || len(section.Keys()) > 0 {
			names = append(names, section.Name())
		}
	}
	return names, nil
}

// Load reads the section of a role from a file into settings of type T. It returns
// a SettingError if the file cannot be read, the section is missing, a key is unknown,
// missing or malformed, or a rule that spans several keys is broken.
func Load[T any](path, section string) (T, error) {
	var settings T
	file, err := ini.Load(path)
	if err != nil {
		return settings, &SettingError{File: path, Section: section, Reason: err.Error()}
	}
	if !file.HasSection(section) {
		return settings, &SettingError{File: path, Section: section, Reason: "the section is missing"}
	}
	values := file.Section(section)
	target := reflect.ValueOf(&settings).Elem()
	known := make(map[string]bool)
	for i := range target.NumField() {
		field := target.Type().Field(i)
		key := field.Tag.Get("ini")
		known[key] = true
		value := strings.TrimSpace(values.Key(key).String())
		if value == "" {
			value = field.Tag.Get("default")
		}
		if value == "" && field.Tag.Get("optional") != "" {
			continue
		}
		if value == "" {
			return settings, &SettingError{File: path, Section: section, Key: key, Reason: "is missing: " + field.Tag.Get("help")}
		}
		if err := setField(target.Field(i), value); err != nil {
			return settings, &SettingError{File: path, Section: section, Key: key, Reason: err.Error()}
		}
	}
	for _, key := range values.KeyStrings() {
		if !known[key] {
			return settings, &SettingError{File: path, Section: section, Key: key, Reason: "is not known"}
		}
	}
	if validated, ok := any(&settings).(validator); ok {
		if err := validated.validate(); err != nil {
			err.File, err.Section = path, section
			return settings, err
		}
	}
	return settings, nil
}

// Lines returns the settings as lines in the form of an INI file, each with its
// help text as a comment. They are for people to read: lists have spaces in place
// of commas and memory is a number of MiB, so that Load cannot read all of them.
func Lines[T any](settings T) []string {
	value := reflect.ValueOf(settings)
	var lines []string
	for i := range value.NumField() {
		field := value.Type().Field(i)
		text := fmt.Sprint(value.Field(i).Interface())
		text = strings.Trim(text, "[]")
		lines = append(lines, fmt.Sprintf("%s = %s ; %s", field.Tag.Get("ini"), text, field.Tag.Get("help")))
	}
	return lines
}

// setField sets a field to the value of a text, parsed by the type of the field.
func setField(field reflect.Value, text string) error {
	switch target := field.Addr().Interface().(type) {
	case *Address:
		return setAddress(target, text)
	case *[]Address:
		for _, part := range strings.Split(text, ",") {
			var a Address
			if err := setAddress(&a, strings.TrimSpace(part)); err != nil {
				return err
			}
			*target = append(*target, a)
		}
	case *Operators:
		return target.parse(text)
	case *URL:
		parsed, err := url.Parse(text)
		if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
			return fmt.Errorf("%q is not an http or https URL", text)
		}
		*target = URL(strings.TrimRight(text, "/"))
	case *time.Duration:
		duration, err := time.ParseDuration(text)
		if err != nil || duration <= 0 {
			return fmt.Errorf("%q is not a duration above zero, such as 30s", text)
		}
		*target = duration
	case *floor.MiB:
		memory, err := parseMemory(text)
		if err != nil {
			return err
		}
		*target = memory
	default:
		return setTextOrNumber(field, text)
	}
	return nil
}

// setTextOrNumber sets a text field, or a field that is a number of zero or more.
func setTextOrNumber(field reflect.Value, text string) error {
	if field.Kind() == reflect.String {
		field.SetString(text)
		return nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < 0 {
		return fmt.Errorf("%q is not a whole number of zero or more", text)
	}
	field.SetInt(number)
	return nil
}

func setAddress(target *Address, text string) error {
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return fmt.Errorf("%q is not an IP address and port, such as 10.0.0.5:7100", text)
	}
	*target = Address(parsed.String())
	return nil
}

// parseMemory parses an amount of memory with one of the units MiB, GiB and TiB.
func parseMemory(text string) (floor.MiB, error) {
	units := []struct {
		suffix string
		factor floor.MiB
	}{{"MiB", 1}, {"GiB", 1 << 10}, {"TiB", 1 << 20}}
	for _, unit := range units {
		if digits, ok := strings.CutSuffix(text, unit.suffix); ok {
			number, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 32)
			if err == nil && number > 0 {
				return floor.MiB(number) * unit.factor, nil
			}
		}
	}
	return 0, fmt.Errorf("%q is not an amount of memory, such as 64GiB", text)
}
