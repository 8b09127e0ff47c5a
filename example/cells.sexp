; Two cells of one replica each for the toy server.
(control (socket "/tmp/yokemast-example.sock"))
(cells
  (size 1) (overlap 0)
  (cell "coast") (cell "hills")
  (tenant "apollo" (cell "coast") (prefix "a"))
  (tenant "medilink" (cell "hills") (prefix "m")))
