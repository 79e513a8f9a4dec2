// Package untrusted tests entry hosts against clients that nobody controls. Its tests start the program with the command
// join, and the stand-in of the users' platform, as processes of their own. They need a machine without other load, since
// their crowds are large.
package untrusted
