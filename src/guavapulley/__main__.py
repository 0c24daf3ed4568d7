"""Entry point of `python -m guavapulley`."""

from guavapulley import programs

if __name__ == "__main__":
    programs.main()
