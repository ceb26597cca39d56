// Package agent decides, beside each backend server, which flows it holds.
package agent
