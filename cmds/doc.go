// Package cmds implements the commands of the wagtailhoist binary: the long-running processes (entry, agent, desk,
// runner) and the operators' commands that call an entry. Each command has a file with its flags, their validation
// and its Run method; the long-running ones build their parts with fx.
package cmds
