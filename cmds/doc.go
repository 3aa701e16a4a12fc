// Package cmds holds the commands of the wagtailhoist binary, a file each.
package cmds
