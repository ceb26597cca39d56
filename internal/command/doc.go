// Package command is the command line of currantturn: flags, signals, output
// and exit codes; what a command does is handed in as hooks.
package command
