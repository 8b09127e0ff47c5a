; What an operator may want beyond the platform's configuration: docs/operate/configuration.md has every entry.
; This file is not named in deploy/balancer.toml: on this platform none of it is permitted or needed. Other installations
; start from it with  yokemast serve --operator deploy/yokemast.sexp

; The socket for `yokemast cells`. The folder must exist and belong to the gateway's user.
(control
  (socket "/run/yokemast/control.sock")
  (mode 0600))

(cells
  (claims no)          ; keys say whom a request belongs to, not the request
  (size 2)
  (overlap 1)
  (reserve 0.5)
  (cell "coast" (weight 2))
  (cell "hills")
  (cell "city")
  (tenant "apollo" (cell "coast") (prefix "apollo/"))
  (tenant "medilink" (cell "hills") (prefix "ml/") (rate 50) (burst 20))
  (moves (ramp 10s)))
