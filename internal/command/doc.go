// Package command implements the command line of currantturn: flags, signals,
// output and exit codes. The caller supplies the work of each command as Hooks.
package command
