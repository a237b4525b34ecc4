package settings

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
)

// Problem describes one error in a settings file.
type Problem struct {
	File string
	// Line is the 1-based line of the value, or of the object that lacks it.
	Line int
	// Path is the dotted path of the setting.
	Path    string
	Message string
}

// String returns "file:line: path: message".
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Path, p.Message)
}

// InvalidError holds all problems of a settings file, in the order in which they
// were found.
type InvalidError struct{ Problems []Problem }

// Error lists the problems, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// problems collects all errors of a settings file, so that an operator can fix
// them in one pass.
type problems struct {
	file     string
	document document
	found    []Problem
}

func (p *problems) add(path, message string) {
	p.addLine(p.document.line(path), path, message)
}

func (p *problems) addLine(line int, path, message string) {
	p.found = append(p.found, Problem{File: p.file, Line: line, Path: path, Message: message})
}

func (p *problems) err() error {
	if len(p.found) == 0 {
		return nil
	}
	return &InvalidError{Problems: p.found}
}

func (p *problems) checkName(path, value string) {
	if value == "" {
		p.add(path, "a name is required")
		return
	}
	if err := catalogue.CheckName(value); err != nil {
		p.add(path, err.Error())
	}
}

func (p *problems) checkAddress(path, value string) {
	if value == "" {
		p.add(path, `an address is required, such as "10.0.1.21:8080"`)
		return
	}
	host, port, err := net.SplitHostPort(value)
	if err != nil || port == "" {
		p.add(path, fmt.Sprintf(`%q is not an address: use host and port, such as "10.0.1.21:8080"`, value))
		return
	}
	if host != "" && net.ParseIP(host) == nil {
		p.add(path, fmt.Sprintf("%q must have an IP address as its host", value))
	}
}

func (p *problems) checkPositive(path string, value int64) {
	if value <= 0 {
		p.add(path, "must be above 0")
	}
}

func (p *problems) checkDuration(path string, value Duration, minimum, maximum time.Duration) {
	if d := time.Duration(value); d < minimum || d > maximum {
		p.add(path, fmt.Sprintf("%s is out of range: from %s to %s", d, minimum, maximum))
	}
}

func (p *problems) checkHashes(path string, hashes []string) {
	for _, hash := range hashes {
		if len(hash) != hashLength || strings.Trim(hash, "0123456789abcdef") != "" {
			p.add(path, "must hold SHA-256 digests as 64 lower-case hex digits, never keys: create one with `rosemaryctl key make`")
			return
		}
	}
}

// hashLength is the length of a hex SHA-256 digest.
const hashLength = 64
