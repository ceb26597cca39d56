// Package file reads files up to a size limit.
package file
