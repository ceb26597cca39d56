// Package file reads files of a bounded size.
package file
