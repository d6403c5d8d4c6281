package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/lovageroad/lovageroad/internal/settings"
)

// newCheckCommand returns the command that validates a settings file and prints
// the settings of each section with their defaults filled in.
func newCheckCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a settings file and print the resulting settings",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, c *cli.Command) error {
			path := c.Args().First()
			if path == "" || c.Args().Len() > 1 {
				return &UsageError{Reason: "check takes one settings file"}
			}
			sections, err := settings.Sections(path)
			if err != nil {
				return err
			}
			if len(sections) == 0 {
				return &settings.SettingError{File: path, Reason: "the file has no section gate, agent, platform or runner"}
			}
			for _, section := range sections {
				lines, err := checkSection(path, section)
				if err != nil {
					return err
				}
				fmt.Fprintf(c.Root().Writer, "[%s]\n", section)
				for _, line := range lines {
					fmt.Fprintln(c.Root().Writer, line)
				}
			}
			return nil
		},
	}
}

// checkSection returns the settings of a section as lines, or a SettingError if the
// section is invalid or names no role.
func checkSection(path, section string) ([]string, error) {
	switch section {
	case "gate":
		return loadLines[settings.Gate](path, section)
	case "agent":
		return loadLines[settings.Agent](path, section)
	case "platform":
		return loadLines[settings.Platform](path, section)
	case "runner":
		return loadLines[settings.Runner](path, section)
	default:
		return nil, &settings.SettingError{File: path, Section: section, Reason: "is not a role: use gate, agent, platform or runner"}
	}
}

func loadLines[T any](path, section string) ([]string, error) {
	values, err := settings.Load[T](path, section)
	if err != nil {
		return nil, err
	}
	return settings.Lines(values), nil
}
