// Package capacity estimates what one backend server takes well: how many requests
// at once, and how long its kinds of requests take.
package capacity
