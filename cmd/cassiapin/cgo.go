package main

// Using cgo links the program to the C library, which the users' platform
// needs to run it.

import "C"
