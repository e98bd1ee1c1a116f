package config

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"coralhub/internal/schema"
)

//go:embed settings.schema.json
var settingsSchema []byte

// Values of Error.File.
const (
	PlatformFile = "platform file"
	SettingsFile = "settings"
)

// Error is the error for a configuration file that can't be read or whose content is invalid.
type Error struct {
	File string // PlatformFile or SettingsFile
	Path string // empty if the file could not be read, because Err names it then
	Err  error
}

func (e *Error) Error() string {
	if e.Path == "" {
		return fmt.Sprintf("%s: %v", e.File, e.Err)
	}
	return fmt.Sprintf("%s %s: %v", e.File, e.Path, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

// ParseError is the error for a platform file that is not valid TOML or has a value of the wrong type.
type ParseError struct {
	Row, Column int    // 0 if not known
	Field       string // the field with the error, if Row is known
	Err         error
}

func (e *ParseError) Error() string {
	reason := schema.OneLine(e.Err.Error())
	if e.Row == 0 {
		return reason
	}
	return fmt.Sprintf("line %d column %d: field %s: %s", e.Row, e.Column, e.Field, reason)
}

func (e *ParseError) Unwrap() error { return e.Err }

// Load reads the platform file and, unless settings is empty, the operators' settings; both arguments are paths. Its
// errors are of type *Error. Their text is one line that names the file and, if the content is invalid, the field.
func Load(platform, settings string) (*Config, error) {
	raw, err := os.ReadFile(platform)
	if err != nil {
		return nil, &Error{File: PlatformFile, Err: err}
	}
	c := &Config{Settings: Defaults()}
	if err := readPlatform(raw, &c.Platform); err != nil {
		return nil, &Error{File: PlatformFile, Path: platform, Err: err}
	}
	if settings == "" {
		return c, nil
	}
	if raw, err = os.ReadFile(settings); err != nil {
		return nil, &Error{File: SettingsFile, Err: err}
	}
	if err := readSettings(raw, &c.Settings); err != nil {
		return nil, &Error{File: SettingsFile, Path: settings, Err: err}
	}
	return c, nil
}

func readPlatform(raw []byte, p *Platform) error {
	err := toml.Unmarshal(raw, p)
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		row, column := decodeError.Position()
		return &ParseError{Row: row, Column: column, Field: strings.Join(decodeError.Key(), "."), Err: decodeError}
	}
	if err != nil {
		return &ParseError{Err: err}
	}
	return p.check()
}

func readSettings(raw []byte, s *Settings) error {
	if err := schema.Check(settingsSchema, raw); err != nil {
		return err
	}
	return json.Unmarshal(raw, s)
}
