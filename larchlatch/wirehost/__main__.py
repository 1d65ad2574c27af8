from larchlatch.wirehost.loop import main

main()
