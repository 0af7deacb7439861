package settings

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
)

// Checker collects the invalid fields of a settings structure.
type Checker struct {
	problems []string
}

// AddError records that the value of the field at path is not valid. The remedy says what to write
// instead.
func (c *Checker) AddError(path string, value any, remedy string) {
	c.problems = append(c.problems, fmt.Sprintf("%s: %v is not valid: %s", path, quote(value), remedy))
}

func quote(value any) any {
	if text, isText := value.(string); isText {
		return fmt.Sprintf("%q", text)
	}
	return value
}

// Err returns all recorded errors as one typed failure, or nil if there are none.
func (c *Checker) Err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return failure.New(failure.BadRequest, "correct the settings file or the flags", "%s", strings.Join(c.problems, "; "))
}

// Name checks the name of a process, zone or worker: 1 to 63 lower-case letters, digits, dots and
// hyphens.
func (c *Checker) Name(path, value string) {
	const remedy = "use 1 to 63 lower-case letters, digits, dots and hyphens"
	if value == "" || len(value) > 63 {
		c.AddError(path, value, remedy)
		return
	}
	for _, letter := range value {
		allowed := letter >= 'a' && letter <= 'z' || letter >= '0' && letter <= '9' || letter == '-' || letter == '.'
		if !allowed {
			c.AddError(path, value, remedy)
			return
		}
	}
}

// Address checks an address at which other processes are reached: an IP address and a port, no host
// name.
func (c *Checker) Address(path, value string) {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		c.AddError(path, value, "write IP:port, such as 192.0.2.10:7400; names are not looked up")
		return
	}
	if address.Port() == 0 || address.Addr().IsUnspecified() {
		c.AddError(path, value, "write the IP and port at which peers reach the process")
	}
}

// Listen checks an address to listen on. Port 0 is allowed and means any free port.
func (c *Checker) Listen(path, value string) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Addr().IsUnspecified() {
		c.AddError(path, value, "write the IP:port at which peers reach the process; names are not looked up")
	}
}

// Addresses checks a list of addresses, which must not be empty.
func (c *Checker) Addresses(path string, values []string) {
	if len(values) == 0 {
		c.AddError(path, "[]", "name at least one address")
	}
	for index, value := range values {
		c.Address(fmt.Sprintf("%s.%d", path, index), value)
	}
}

// Range checks that a number is from minimum to maximum.
func (c *Checker) Range(path string, value, minimum, maximum int) {
	if value < minimum || value > maximum {
		c.AddError(path, value, fmt.Sprintf("choose from %d to %d", minimum, maximum))
	}
}

// RangeOrZero checks that a number is from minimum to maximum, or zero for a default.
func (c *Checker) RangeOrZero(path string, value, minimum, maximum int) {
	if value != 0 && (value < minimum || value > maximum) {
		c.AddError(path, value, fmt.Sprintf("choose from %d to %d, or 0 for the default", minimum, maximum))
	}
}

// Between checks that a duration is from minimum to maximum.
func (c *Checker) Between(path string, value Duration, minimum, maximum time.Duration) {
	if value.Std() < minimum || value.Std() > maximum {
		c.AddError(path, value, fmt.Sprintf("choose from %s to %s", minimum, maximum))
	}
}

// OneOf checks that a string is one of the allowed ones.
func (c *Checker) OneOf(path, value string, allowed ...string) {
	for _, candidate := range allowed {
		if value == candidate {
			return
		}
	}
	c.AddError(path, value, "use one of: "+strings.Join(allowed, ", "))
}
