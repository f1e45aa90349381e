// Lets a module consist of headers only.
