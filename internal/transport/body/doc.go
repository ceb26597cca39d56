// Package body reads HTTP bodies under a limit on pauses instead of on their whole
// duration, so that a large body on a slow link is not cut off.
package body
